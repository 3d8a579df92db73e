import type { Assignment, ServiceObject } from '../core/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

import type { AdminCaller } from './AdminClient.js';
import type { PublicationResult } from './Publisher.js';

/** Store key of the assignment, which lists the entry VMs. */
export const ASSIGNMENT_KEY = 'fleet/assignment';

/** Maximum entry VMs that a configuration is pushed to; they forward it to the others. */
const MAX_PUSHED_VMS = 32;

/** Maximum concurrent calls to entry VMs. */
const MAX_CONCURRENT_CALLS = 8;

/** Time between two polls of the entry VMs, in milliseconds. */
const POLL_MS = 200;

/** Number of entry VMs, and on how many of them a generation is in force. */
export interface PropagationProgress {
  readonly inForce: number;
  readonly of: number;
  /** Addresses of entry VMs where it is not in force, or that do not answer. */
  readonly missing: readonly string[];
}

/** Options of `waitUntilInForce`. */
export interface WaitOptions {
  readonly generation: number;
  readonly addresses: readonly string[];
  readonly timeoutMs: number;
  wait(ms: number): Promise<void>;
  onProgress?(progress: PropagationProgress): void;
}

/** Runs an action for each item with limited concurrency. */
async function forEachConcurrently<T>(items: readonly T[], action: (item: T) => Promise<void>) {
  const queue = [...items];
  const runWorker = async (): Promise<void> => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) await action(item);
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, runWorker));
}

function getProgress(
  addresses: readonly string[],
  missing: ReadonlySet<string>,
): PropagationProgress {
  return {
    inForce: addresses.length - missing.size,
    of: addresses.length,
    missing: [...missing],
  };
}

/**
 * Reads the addresses of the entry VMs from the store.
 * @param store - Client of the object store.
 * @returns Empty if no entry VM is assigned or the store does not answer.
 */
export async function readEntryAddresses(store: StoreCaller): Promise<string[]> {
  const result = await store.call({ op: 'get', key: ASSIGNMENT_KEY });
  if (result.kind !== 'found') return [];
  return (result.entry.value as Assignment).members.map(({ address }) => address);
}

/**
 * Pushes an accepted configuration to entry VMs. Otherwise they would only receive it from the store,
 * and a store outage right after the acceptance would delay it until the outage ends.
 * @param admin - Client of the administration API.
 * @param addresses - Addresses of entry VMs.
 * @param result - Accepted publication.
 * @returns Number of entry VMs that answered the push.
 */
export async function pushToEntryVms(
  admin: AdminCaller,
  addresses: readonly string[],
  result: PublicationResult,
): Promise<number> {
  const services: readonly ServiceObject[] = result.plan.newObjects;
  let acceptedCount = 0;
  await forEachConcurrently(addresses.slice(0, MAX_PUSHED_VMS), async (address) => {
    const generation = await admin.push(address, result.root, services);
    if (generation !== undefined) acceptedCount += 1;
  });
  return acceptedCount;
}

/**
 * Waits until a generation, or a later one, is in force on all entry VMs or the timeout expires.
 * @param admin - Client of the administration API.
 * @param options - Generation, entry VMs and timeout.
 * @returns Progress at the end of the wait.
 */
export async function waitUntilInForce(
  admin: AdminCaller,
  options: WaitOptions,
): Promise<PropagationProgress> {
  const missing = new Set(options.addresses);
  const rounds = Math.max(1, Math.ceil(options.timeoutMs / POLL_MS));
  for (let round = 0; round < rounds; round += 1) {
    if (round > 0) await options.wait(POLL_MS);
    await forEachConcurrently([...missing], async (address) => {
      const generation = await admin.getGeneration(address);
      if (generation !== undefined && generation >= options.generation) missing.delete(address);
    });
    options.onProgress?.(getProgress(options.addresses, missing));
    if (missing.size === 0) break;
  }
  return getProgress(options.addresses, missing);
}
