import { readEntrySettings } from '../../config/index.js';
import { EntryProcess } from '../../entry/index.js';
import { ConsolaLogger } from '../../logging/index.js';
import type { Command } from '../Command.js';
import { EXIT_CODES } from '../exitCodes.js';

/** Starts a graceful stop on the first signal. Later signals are ignored, since requests still run. */
function stopOnSignal(entry: EntryProcess, logger: ConsolaLogger): void {
  let isStopping = false;
  const handle = (signal: NodeJS.Signals): void => {
    if (isStopping) {
      logger.info('entry', `${signal} ignored: the graceful stop is already in progress`);
      return;
    }
    isStopping = true;
    entry.stop().catch((err: Error) => logger.error('entry', err.message));
  };
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
}

/** Runs the process of an entry VM. */
export const entryCommand: Command = {
  name: 'entry',
  args: [],
  description: 'Run an entry process until SIGTERM, which stops it gracefully.',
  options: [{ name: 'settings', value: 'FILE', description: 'Settings file of the process' }],
  examples: ['entry --settings /etc/masticlink.ini'],
  async run(args) {
    const settings = readEntrySettings(args.getTextOrThrow('settings'));
    const logger = new ConsolaLogger({
      ...settings.log,
      stream: process.stderr,
      source: settings.core.self.id,
    });
    const entry = await EntryProcess.start(settings, { logger });
    stopOnSignal(entry, logger);
    await entry.waitForExit();
    return EXIT_CODES.ok;
  },
};
