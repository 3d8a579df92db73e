/** Maximum edit distance at which a name counts as a likely typo. */
const MAX_EDIT_DISTANCE = 3;

/** Computes the Levenshtein distance of two names. */
function getEditDistance(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i);
  for (let i = 1; i <= a.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= b.length; j += 1) {
      const substitutionCost = a[i - 1] === b[j - 1] ? 0 : 1;
      next.push(Math.min(next[j - 1] + 1, row[j] + 1, row[j - 1] + substitutionCost));
    }
    row = next;
  }
  return row[b.length];
}

/**
 * Finds the known name that an unknown name is most likely a typo of.
 * @param name - Unknown name.
 * @param known - Known names.
 * @example
 * getNearest('stat', ['state', 'region']); // 'state'
 */
export function getNearest(name: string, known: readonly string[]): string | undefined {
  const lowered = name.toLowerCase();
  const ranked = known
    .map((candidate) => ({
      candidate,
      distance: getEditDistance(lowered, candidate.toLowerCase()),
    }))
    .sort((a, b) => a.distance - b.distance);
  const best = ranked[0];
  return best && best.distance <= Math.min(MAX_EDIT_DISTANCE, Math.ceil(best.candidate.length / 2))
    ? best.candidate
    : undefined;
}

/**
 * Gives a hint on how to correct an unknown name.
 * @param name - Unknown name.
 * @param known - Known names.
 */
export function suggest(name: string, known: readonly string[]): string {
  const nearest = getNearest(name, known);
  return nearest === undefined
    ? `known here: ${known.join(', ') || 'nothing'}`
    : `did you mean "${nearest}"?`;
}
