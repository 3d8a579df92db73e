import type { PlatformStore } from './PlatformStore.js';
import { RawJson } from './RawJson.js';

/** Depth of nested objects, above what recursive code can walk. */
const DEPTH = 20_000;

const KIND = 'servers';

const STATUS = { state: 'ready', sequence: 1, warmup_left: '0ms' };

const TOO_LARGE = new RawJson('1e400');

/** An entry as it is stored. */
interface OddEntry {
  readonly spec?: unknown;
  readonly status?: unknown;
}

/** Fields of an entry, of which an odd one has others. */
interface EntryParts {
  readonly info: Readonly<Record<string, unknown>>;
  readonly spec: Readonly<Record<string, unknown>>;
}

/** Entries that describe no target that could be used, by what is wrong with them. */
const ODD_ENTRIES: Readonly<Record<string, (parts: EntryParts) => OddEntry>> = {
  portOutOfRange: ({ spec }) => ({ spec: { ...spec, address: '127.0.0.1:70000' } }),
  portOfManyDigits: ({ spec }) => ({ spec: { ...spec, address: `127.0.0.1:${'9'.repeat(40)}` } }),
  portZero: ({ spec }) => ({ spec: { ...spec, address: '127.0.0.1:0' } }),
  octetOutOfRange: ({ spec }) => ({ spec: { ...spec, address: '127.0.0.300:8000' } }),
  addressOfAnotherType: ({ spec }) => ({ spec: { ...spec, address: { port: 8000 } } }),
  noAddress: ({ spec }) => ({ spec: { ...spec, address: undefined } }),
  noInfo: ({ spec }) => ({ spec: { ...spec, info: undefined } }),
  noService: ({ info, spec }) => ({ spec: { ...spec, info: { ...info, service: undefined } } }),
  noSlots: ({ info, spec }) => ({
    spec: { ...spec, info: { ...info, max_concurrency: undefined } },
  }),
  noStatus: () => ({ status: null }),
  noState: () => ({ status: { ...STATUS, state: undefined } }),
  noSpec: () => ({ spec: null }),
  listAsSpec: ({ spec }) => ({ spec: [spec] }),
  slotsTooLarge: ({ info, spec }) => ({
    spec: { ...spec, info: { ...info, max_concurrency: TOO_LARGE } },
  }),
  slotsInexact: ({ info, spec }) => ({
    spec: { ...spec, info: { ...info, max_concurrency: 2 ** 53 } },
  }),
  bornTooLarge: ({ spec }) => ({ spec: { ...spec, born: TOO_LARGE } }),
  deepInfo: ({ spec }) => ({
    spec: { ...spec, info: new RawJson(`${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`) },
  }),
  deepStatus: () => ({ status: new RawJson(`${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`) }),
};

/** Names of the odd entries. */
export const ODD_ENTRY_NAMES: readonly string[] = Object.keys(ODD_ENTRIES);

/**
 * Writes an entry that no target has written beside those of the targets.
 * @param store - The store.
 * @param name - Name of the odd entry.
 * @param service - Service that it names, unless that is what is wrong with it.
 */
export function putOddEntry(store: PlatformStore, name: string, service: string): void {
  const info = { service, version: 'v1', zone: 'z-1', max_concurrency: 4 };
  const sound = { address: '127.0.0.1:9', born: 1, info };
  const { spec = sound, status = STATUS } = ODD_ENTRIES[name]({ info, spec: sound });
  store.put(KIND, `odd-${name}`, spec, status);
}
