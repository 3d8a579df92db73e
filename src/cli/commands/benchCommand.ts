import type { Command } from '../Command.js';
import { EXIT_CODES } from '../exitCodes.js';

/** Compares the load balancer with a central queue and two baselines in virtual time. */
export const benchCommand: Command = {
  name: 'bench',
  args: [],
  description: 'Compare the decisions in virtual time with a central queue and two baselines.',
  options: [],
  examples: ['bench --scenario steady --load 0.8 --seconds 5'],
  hasCustomFlags: true,
  async run(args) {
    const { runBench } = await import('../../bench/runBench.js');
    runBench(['node', 'bench', ...args.rawArgs]);
    return process.exitCode === 1 ? EXIT_CODES.failed : EXIT_CODES.ok;
  },
};
