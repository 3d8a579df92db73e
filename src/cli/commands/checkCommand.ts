import { ConfigProblemsError, readConfigurationDir } from '../../config/index.js';
import type { Command } from '../Command.js';
import { JSON_OPTION } from '../Command.js';
import { EXIT_CODES } from '../exitCodes.js';

/** Validates the files of a configuration without any network call. */
export const checkCommand: Command = {
  name: 'check',
  args: ['dir'],
  description: 'Check zones.ini and every NAME.service.ini under a directory.',
  options: [JSON_OPTION],
  examples: ['check examples/makaa'],
  async run(args, io) {
    const [dir] = args.positional;
    const isJson = args.has('json');
    try {
      const { zones, services } = readConfigurationDir(dir);
      const targets = services.reduce((count, service) => count + service.targets.length, 0);
      if (isJson) io.out(JSON.stringify({ ok: true, problems: [], zones, services }));
      else {
        io.out(
          `${dir} is valid: ${zones.length} zones, ${services.length} services, ${targets} targets.`,
        );
      }
      return EXIT_CODES.ok;
    } catch (err) {
      if (!isJson || !(err instanceof ConfigProblemsError)) throw err;
      io.out(JSON.stringify({ ok: false, problems: err.problems }));
      return EXIT_CODES.failed;
    }
  },
};
