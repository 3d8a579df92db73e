import { createReadStream, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

import { explainRequest } from '../../report/explainRequest.js';
import { explainRollouts } from '../../report/explainRollouts.js';
import { LossSummary } from '../../report/LossSummary.js';
import type { Command } from '../Command.js';
import type { CommandIo } from '../CommandIo.js';
import { createUsageError } from '../errors.js';
import { EXIT_CODES } from '../exitCodes.js';

/** In place of an id: all requests that were late, refused or failed, summed up. */
const ALL = 'all';

/** In place of an id: how versions were rolled out. */
const ROLLOUTS = 'rollouts';

/** File that stands for standard input. */
const STANDARD_INPUT = '-';

function createReadError(file: string, { message }: Error): Error {
  return createUsageError(`${file}: cannot be read (${message}); name a log file, or -`);
}

function readLog(file: string): string[] {
  try {
    return readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8').split('\n');
  } catch (cause) {
    throw createReadError(file, cause as Error);
  }
}

/** Lines between two words on how far reading is. */
const PROGRESS_LINES = 200_000;

/** Sums up the losses in logs, line by line: those of hundreds of VMs don't fit into memory. */
async function sumUp(files: readonly string[], io: CommandIo): Promise<string[]> {
  const summary = new LossSummary();
  let read = 0;
  for (const file of files) {
    const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file, 'utf8');
    try {
      for await (const text of createInterface({ input, crlfDelay: Infinity })) {
        summary.add(text);
        read += 1;
        if (read % PROGRESS_LINES === 0) io.progress(`${file}: ${read} lines read`);
      }
    } catch (cause) {
      throw createReadError(file, cause as Error);
    }
  }
  return summary.write();
}

/** What is said if logs tell nothing. */
const NOTHING: Readonly<Record<string, string>> = {
  [ALL]: 'no line tells how a request ended; give the logs of gateways with --log',
  [ROLLOUTS]: 'no line tells of a rollout; give the logs of all gateways with --log',
};
const ELSEWHERE = 'look at the logs of all gateways, for the time of the request';

async function explain(id: string, logs: readonly string[], io: CommandIo): Promise<string[]> {
  if (id === ALL) return sumUp(logs, io);
  const lines = logs.flatMap(readLog);
  return id === ROLLOUTS ? explainRollouts(lines) : explainRequest(lines, id);
}

/** Tells what became of a request, and why. */
export const explainCommand: Command = {
  name: 'explain',
  args: ['id'],
  description:
    'Explain what became of a request, how rollouts went, or sum up all requests that were lost, from the ' +
    'logs of gateways.',
  options: [
    {
      name: 'log',
      value: 'FILE',
      description: 'Log file, several times for several; - if left out',
    },
  ],
  examples: [
    'explain 9c41d07be2a35f68 --log gateways.log',
    'explain all --log gateways.log',
    'explain rollouts --log gateways.log',
  ],
  async run(args, io) {
    const [id] = args.positional;
    const files = args.getList('log');
    const logs = files.length === 0 ? [STANDARD_INPUT] : files;
    const explained = await explain(id, logs, io);
    if (explained.length === 0) {
      io.err(NOTHING[id] ?? `no line names request ${id}; ${ELSEWHERE}`);
      return EXIT_CODES.failed;
    }
    for (const line of explained) io.out(line);
    return EXIT_CODES.ok;
  },
};
