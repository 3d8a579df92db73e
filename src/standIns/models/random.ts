/**
 * Creates a seeded generator of numbers uniform in [0, 1) (mulberry32). Equal seeds give equal
 * sequences.
 * @param seed - Any integer; only its low 32 bits are used.
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/**
 * Draws from a lognormal distribution.
 * @param random - Random numbers uniform in [0, 1).
 * @param mean - Mean of the distribution.
 * @param sigma - Standard deviation of the logarithm.
 */
export function drawLognormal(random: () => number, mean: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - (sigma * sigma) / 2);
}
