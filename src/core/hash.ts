const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns a 32-bit hash of a string (FNV-1a with a final mix); the same in every process and
 * version.
 * @param text - The string to hash.
 * @example
 * hashText('zone-a/3') % 16;
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Returns the candidate with the highest weight for a key (rendezvous hashing): when a candidate is
 * removed, only its own keys move. Undefined if there are no candidates.
 * @param key - The key to assign.
 * @param ids - The candidates.
 * @example
 * getRendezvousWinner('zone-a/3', ['vm1', 'vm2']);
 */
export function getRendezvousWinner(key: string, ids: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const id of ids) {
    const weight = hashText(`${id}|${key}`);
    if (weight > bestWeight || (weight === bestWeight && best !== undefined && id < best)) {
      best = id;
      bestWeight = weight;
    }
  }
  return best;
}
