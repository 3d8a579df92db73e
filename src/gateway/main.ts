import { runGateway } from './runGateway.js';

/** Path of the settings file if `MASTICLINK_CONFIG` is not set. */
const DEFAULT_SETTINGS_PATH = '/etc/masticlink/node.ini';

runGateway(process.env.MASTICLINK_CONFIG ?? DEFAULT_SETTINGS_PATH)
  .then(() => process.exit(0))
  .catch((err: Error) => {
    process.stderr.write(`${err.message}\n`);
    process.exit(1);
  });
