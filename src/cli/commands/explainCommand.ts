import { readFileSync } from 'node:fs';

import { explainRequest } from '../../report/explainRequest.js';
import { summarizeLosses } from '../../report/summarizeLosses.js';
import type { Command } from '../Command.js';
import { createUsageError } from '../errors.js';
import { EXIT_CODES } from '../exitCodes.js';

/** In place of an id: all requests that were late, refused or failed, summed up. */
const ALL = 'all';

/** File that stands for standard input. */
const STANDARD_INPUT = '-';

function readLog(file: string): string[] {
  try {
    return readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8').split('\n');
  } catch (cause) {
    throw createUsageError(
      `${file}: cannot be read (${(cause as Error).message}); name a log file, or -`,
    );
  }
}

/** Tells what became of a request, and why. */
export const explainCommand: Command = {
  name: 'explain',
  args: ['id'],
  description:
    'Explain what became of a request, or sum up all that were lost, from the logs of gateways.',
  options: [
    {
      name: 'log',
      value: 'FILE',
      description: 'Log file, several times for several; - if left out',
    },
  ],
  examples: ['explain 9c41d07be2a35f68 --log gateways.log', 'explain all --log gateways.log'],
  async run(args, io) {
    const [id] = args.positional;
    const files = args.getList('log');
    const lines = (files.length === 0 ? [STANDARD_INPUT] : files).flatMap(readLog);
    const explained = id === ALL ? summarizeLosses(lines) : explainRequest(lines, id);
    if (explained.length === 0) {
      io.err(
        id === ALL
          ? 'no line tells how a request ended; give the logs of gateways with --log'
          : `no line names request ${id}; look at the logs of all gateways, for the time of the request`,
      );
      return EXIT_CODES.failed;
    }
    for (const line of explained) io.out(line);
    return EXIT_CODES.ok;
  },
};
