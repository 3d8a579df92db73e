import { RawJson } from '../platform/standIn/index.js';
import type { Fault } from './faults.js';
import { SERVICE } from './soakRoutes.js';

/** Range of the time between two entries, in milliseconds. */
const MIN_GAP_MS = 50;
const MAX_GAP_MS = 350;

/** Depth of nested objects, above what recursive code can walk. */
const DEPTH = 20_000;

const KIND = 'servers';

const INFO = { service: SERVICE, version: 'v1', zone: 'z-1', max_concurrency: 4 };
const SPEC = { address: '127.0.0.1:9', born: 1, info: INFO };
const STATUS = { state: 'ready', sequence: 1, warmup_left: '0ms' };

const TOO_LARGE = new RawJson('1e400');

/** Entries that describe no target that could be used, by what is wrong with them. */
const ODD_ENTRIES: Readonly<
  Record<string, { readonly spec?: unknown; readonly status?: unknown }>
> = {
  portOutOfRange: { spec: { ...SPEC, address: '127.0.0.1:70000' } },
  portOfManyDigits: { spec: { ...SPEC, address: `127.0.0.1:${'9'.repeat(40)}` } },
  portZero: { spec: { ...SPEC, address: '127.0.0.1:0' } },
  octetOutOfRange: { spec: { ...SPEC, address: '127.0.0.300:8000' } },
  addressOfAnotherType: { spec: { ...SPEC, address: { port: 8000 } } },
  noAddress: { spec: { ...SPEC, address: undefined } },
  noInfo: { spec: { ...SPEC, info: undefined } },
  noService: { spec: { ...SPEC, info: { ...INFO, service: undefined } } },
  noSlots: { spec: { ...SPEC, info: { ...INFO, max_concurrency: undefined } } },
  noStatus: { status: null },
  noState: { status: { ...STATUS, state: undefined } },
  noSpec: { spec: null },
  listAsSpec: { spec: [SPEC] },
  slotsTooLarge: { spec: { ...SPEC, info: { ...INFO, max_concurrency: TOO_LARGE } } },
  slotsInexact: { spec: { ...SPEC, info: { ...INFO, max_concurrency: 2 ** 53 } } },
  bornTooLarge: { spec: { ...SPEC, born: TOO_LARGE } },
  deepInfo: {
    spec: { ...SPEC, info: new RawJson(`${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`) },
  },
  deepStatus: { status: new RawJson(`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`) },
};

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Leaves entries that no target wrote beside those of the targets, one after another in any order. */
export const leaveOddEntries: Fault = async ({ world, random }) => {
  const order = Object.entries(ODD_ENTRIES)
    .map(([name, entry]) => ({ name, entry, rank: random() }))
    .sort((a, b) => a.rank - b.rank);
  for (const { name, entry } of order) {
    const { spec = SPEC, status = STATUS } = entry;
    world.store.put(KIND, `odd-${name}`, spec, status);
    await wait(MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS));
  }
};
