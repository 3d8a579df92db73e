import { createReadStream, readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

import { explainRequest } from '../../report/explainRequest.js';
import { explainRollouts } from '../../report/explainRollouts.js';
import { LossSummary } from '../../report/LossSummary.js';
import type { Command } from '../Command.js';
import type { CommandIo } from '../CommandIo.js';
import { createUsageError } from '../errors.js';
import { EXIT_CODES } from '../exitCodes.js';

/** Used in place of an id to summarize all requests that were late, refused or failed. */
const ALL_REQUESTS = 'all';

/** Used in place of an id to explain rollouts. */
const ALL_ROLLOUTS = 'rollouts';

/** File name that denotes standard input. */
const STANDARD_INPUT = '-';

function createReadError(file: string, { message }: Error): Error {
  return createUsageError(
    `${file}: cannot be read (${message}); give a log file, or - for standard input`,
  );
}

function readLog(file: string): string[] {
  try {
    return readFileSync(file === STANDARD_INPUT ? 0 : file, 'utf8').split('\n');
  } catch (cause) {
    throw createReadError(file, cause as Error);
  }
}

/** Lines read between two progress messages. */
const PROGRESS_INTERVAL_LINES = 200_000;

/** Summarizes logs line by line, since the logs of hundreds of VMs do not fit into memory. */
async function summarizeLosses(files: readonly string[], io: CommandIo): Promise<string[]> {
  const summary = new LossSummary();
  let read = 0;
  for (const file of files) {
    const input = file === STANDARD_INPUT ? process.stdin : createReadStream(file, 'utf8');
    try {
      for await (const text of createInterface({ input, crlfDelay: Infinity })) {
        summary.add(text);
        read += 1;
        if (read % PROGRESS_INTERVAL_LINES === 0) io.progress(`${file}: ${read} lines read`);
      }
    } catch (cause) {
      throw createReadError(file, cause as Error);
    }
  }
  return summary.toLines();
}

/** Messages for logs without a matching line. */
const EMPTY_RESULT_MESSAGES: Readonly<Record<string, string>> = {
  [ALL_REQUESTS]: 'no line reports the end of a request; give the logs of gateways with --log',
  [ALL_ROLLOUTS]: 'no line is about a rollout; give the logs of all gateways with --log',
};
const SEARCH_HINT = 'give the logs of all gateways that cover the time of the request';

async function explain(id: string, logs: readonly string[], io: CommandIo): Promise<string[]> {
  if (id === ALL_REQUESTS) return summarizeLosses(logs, io);
  const lines = logs.flatMap(readLog);
  return id === ALL_ROLLOUTS ? explainRollouts(lines) : explainRequest(lines, id);
}

/** Explains requests and rollouts from the logs of gateways. */
export const explainCommand: Command = {
  name: 'explain',
  args: ['id'],
  description:
    'Explain how a request was handled or how rollouts proceeded, or summarize all lost requests, from the ' +
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
      io.err(EMPTY_RESULT_MESSAGES[id] ?? `no line mentions request ${id}; ${SEARCH_HINT}`);
      return EXIT_CODES.failed;
    }
    for (const line of explained) io.out(line);
    return EXIT_CODES.ok;
  },
};
