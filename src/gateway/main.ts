import { runGateway } from './runGateway.js';

/** Where the settings file lies if the environment names no other. */
const DEFAULT_PATH = '/etc/masticlink/node.ini';

runGateway(process.env.MASTICLINK_CONFIG ?? DEFAULT_PATH)
  .then(() => process.exit(0))
  .catch((err: Error) => {
    process.stderr.write(`${err.message}\n`);
    process.exit(1);
  });
