import type { Command } from '../Command.js';
import { EXIT_CODES } from '../exitCodes.js';

/** Runs the gateway process of an entry VM on the users' platform. */
export const gatewayCommand: Command = {
  name: 'gateway',
  args: [],
  description: 'Run a gateway on the users’ platform until SIGTERM, which stops it gracefully.',
  options: [{ name: 'settings', value: 'FILE', description: 'Settings file of the process' }],
  examples: ['gateway --settings /etc/masticlink/node.ini'],
  async run(args) {
    const { runGateway } = await import('../../gateway/runGateway.js');
    await runGateway(args.getTextOrThrow('settings'));
    return EXIT_CODES.ok;
  },
};
