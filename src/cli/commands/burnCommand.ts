import { writeFileSync } from 'node:fs';

import { readBurnReport, renderHtml, renderText } from '../../report/index.js';
import type { StoreCaller } from '../../store/StoreCaller.js';
import type { Arguments } from '../Arguments.js';
import type { Command } from '../Command.js';
import { JSON_OPTION, STORE_OPTIONS } from '../Command.js';
import type { CommandIo } from '../CommandIo.js';
import { EXIT_CODES } from '../exitCodes.js';
import { withStore } from '../storeAccess.js';
import { DumpedStore } from '../DumpedStore.js';

async function run(store: StoreCaller, args: Arguments, io: CommandIo, now: number) {
  const report = await readBurnReport(store, now);
  const file = args.getText('html');
  if (file !== undefined) {
    writeFileSync(file, await renderHtml(report));
    io.err(`written: ${file}`);
  }
  if (args.has('json')) io.out(JSON.stringify(report));
  else if (file === undefined) io.out(renderText(report));
  return EXIT_CODES.ok;
}

/** Reports how fast the services use up their error budgets. */
export const burnCommand: Command = {
  name: 'burn',
  args: [],
  description: 'Report how fast each service burns its service-level budget, and what burns it.',
  options: [
    ...STORE_OPTIONS,
    {
      name: 'dump',
      value: 'FILE',
      description: 'Read the objects that "demo --dump FILE" wrote instead of a store',
    },
    { name: 'html', value: 'FILE', description: 'Write one self-contained page with plots' },
    JSON_OPTION,
  ],
  examples: ['burn --store http://10.0.0.5:7000', 'burn --dump demo.json --html burn.html'],
  run(args, io) {
    const dump = args.getText('dump');
    if (dump === undefined) return withStore(args, io, (store) => run(store, args, io, Date.now()));
    const store = DumpedStore.read(dump);
    return run(store, args, io, store.at);
  },
};
