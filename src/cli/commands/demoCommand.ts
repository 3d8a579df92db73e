import type { StoreEntry } from '../../core/index.js';
import type { DemoProgress, DemoResult } from '../../demo/index.js';
import { runDemo } from '../../demo/index.js';
import { ConsolaLogger } from '../../logging/index.js';
import { renderTable } from '../../report/index.js';
import type { Command } from '../Command.js';
import { JSON_OPTION } from '../Command.js';
import type { CommandIo } from '../CommandIo.js';
import { DumpedStore } from '../DumpedStore.js';
import { EXIT_CODES } from '../exitCodes.js';
import { LiveTable } from '../LiveTable.js';

const DEFAULT_SECONDS = 20;

const PROGRESS_HEADER = [
  'deployment',
  'entry VMs',
  'sent',
  'whole',
  'refused',
  'failed',
  'p50 ms',
  'p99 ms',
];

function getCells(progress: DemoProgress): string[] {
  const { deployment, entryVms, sent, whole, refused, failed, p50Ms, p99Ms } = progress;
  return [deployment, ...[entryVms, sent, whole, refused, failed, p50Ms, p99Ms].map(String)];
}

function printSummary(results: readonly DemoResult[], io: CommandIo): void {
  io.out(renderTable([PROGRESS_HEADER, ...results.map(getCells)]));
  for (const { deployment, promises } of results) {
    io.out('');
    io.out(`${deployment}: the nine promises, as observed by targets, store and callers`);
    for (const { promise, kept, detail } of promises) {
      io.out(`  ${kept ? 'kept  ' : 'BROKEN'}  ${promise}: ${detail}`);
    }
  }
}

/** Runs both example deployments on loopback, with injected faults. */
export const demoCommand: Command = {
  name: 'demo',
  args: [],
  description: 'Run both example deployments on loopback, with faults, and check the promises.',
  options: [
    { name: 'seconds', value: 'SECONDS', description: `length of the run; ${DEFAULT_SECONDS}` },
    {
      name: 'examples',
      value: 'DIR',
      description: 'directory of the examples',
      default: 'examples',
    },
    {
      name: 'dump',
      value: 'FILE',
      description: 'keep the first store’s objects, for "burn --dump"',
    },
    { name: 'verbose', description: 'Show the log lines of the entry processes' },
    JSON_OPTION,
  ],
  examples: ['demo --seconds 10 --json'],
  async run(args, io) {
    const seconds = args.getInteger('seconds', { min: 8, max: 3_600 }) ?? DEFAULT_SECONDS;
    const dump = args.getText('dump');
    const logger = new ConsolaLogger({
      level: args.has('verbose') ? 'info' : 'error',
      format: 'auto',
      stream: process.stderr,
    });
    const table = new LiveTable(io);
    let isDumped = false;
    const results = await runDemo({
      seconds,
      examples: args.getTextOrThrow('examples'),
      logger,
      onStep: (deployment, text) => table.printLine(`${deployment}: ${text}`),
      onProgress: (progress) => table.show([PROGRESS_HEADER, ...progress.map(getCells)]),
      async onEnd(_deployment, fleet) {
        if (dump === undefined || isDumped) return;
        isDumped = true;
        const result = await new Promise<readonly StoreEntry[]>((resolve) => {
          fleet.store.call({ op: 'list', prefix: '' }, (reply) =>
            resolve(reply !== 'lost' && reply.kind === 'listed' ? reply.entries : []),
          );
        });
        DumpedStore.write(dump, result, Date.now());
      },
    });
    table.clear();
    if (args.has('json')) io.out(JSON.stringify(results, null, 2));
    else printSummary(results, io);
    return results.every(({ kept }) => kept) ? EXIT_CODES.ok : EXIT_CODES.failed;
  },
};
