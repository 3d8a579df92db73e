import type { ConfigRoot, ServiceObject } from '../core/index.js';

import { getServiceKey, SERVICES_PREFIX } from './keys.js';
import type { RetryingStore } from './RetryingStore.js';

/** Generations for which unused descriptions are kept, since entry VMs may still be reading them. */
const RETAINED_GENERATIONS = 20;

/** Maximum deletions per run, which bounds the store calls of a publication. */
const MAX_DELETIONS = 100;

/** Garbage is collected when the generation is a multiple of this. */
const COLLECTION_INTERVAL_GENERATIONS = 10;

/**
 * Deletes service descriptions that have been unused for many generations; otherwise the store would
 * grow with every publication. It is safe to run concurrently with other publishers: they rewrite the
 * descriptions of a later root with its generation, and each delete is conditional on the version that
 * was read. What cannot be deleted is left to a later publication.
 * @param store - Client of the object store.
 * @param root - Root that was just accepted.
 */
export async function collectGarbage(store: RetryingStore, root: ConfigRoot): Promise<void> {
  if (root.generation % COLLECTION_INTERVAL_GENERATIONS !== 0) return;
  const result = await store.read({ op: 'list', prefix: SERVICES_PREFIX });
  if (result.kind !== 'listed') return;
  const used = new Set(
    Object.entries(root.services).map(([name, hash]) => getServiceKey(name, hash)),
  );
  const unused = result.entries.filter(({ key, value }) => {
    const { writtenFor = 0 } = value as ServiceObject;
    return !used.has(key) && writtenFor < root.generation - RETAINED_GENERATIONS;
  });
  for (const { key, version } of unused.slice(0, MAX_DELETIONS)) {
    await store.write({ op: 'delete', key, expect: version });
  }
}
