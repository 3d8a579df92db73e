import fc from 'fast-check';

function nest(levels: number): unknown {
  return JSON.parse(`${'['.repeat(levels)}${']'.repeat(levels)}`);
}

/** Values that another writer may put in place of a sound one. */
const ODD_VALUES: readonly unknown[] = [
  undefined,
  null,
  true,
  '',
  ' ',
  'NaN',
  'Infinity',
  '__proto__',
  'constructor',
  'toString',
  'ready',
  '\u0000\r\n',
  '\ud800',
  'é',
  'x'.repeat(20_000),
  `${'9'.repeat(400)}s`,
  `${'9'.repeat(300)}ms`,
  `r${'9'.repeat(400)}`,
  '127.0.0.1:70000',
  -1,
  0.5,
  2 ** 53,
  Number.MAX_SAFE_INTEGER,
  JSON.parse('1e308'),
  JSON.parse('1e400'),
  JSON.parse('-1e400'),
  [],
  {},
  [null],
  JSON.parse('{"__proto__": {"name": "x"}}'),
  nest(100_000),
];

type Path = readonly (string | number)[];

function findPaths(value: unknown, path: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [path];
  const inner = Object.entries(value).flatMap(([key, each]) => findPaths(each, [...path, key]));
  return [path, ...inner];
}

function replace(value: unknown, [key, ...rest]: Path, odd: unknown): unknown {
  if (key === undefined) return odd;
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([name, each]) => [
    name,
    name === key ? replace(each, rest, odd) : each,
  ]);
  return Array.isArray(value) ? entries.map(([, each]) => each) : Object.fromEntries(entries);
}

/**
 * Generates variants of a sound value in which up to three parts are odd.
 * @param sound - The sound value.
 */
export function makeOdd(sound: unknown): fc.Arbitrary<unknown> {
  const change = fc.tuple(fc.constantFrom(...findPaths(sound)), fc.constantFrom(...ODD_VALUES));
  return fc
    .array(change, { minLength: 1, maxLength: 3 })
    .map((changes) => changes.reduce((value, [path, odd]) => replace(value, path, odd), sound));
}

/**
 * Whether a decoded value has only what its type allows: text, flags, finite numbers, and no more
 * levels than any decoded value has.
 * @param value - The value.
 */
export function isSound(value: unknown, levels = 6): boolean {
  if (typeof value === 'number') return Number.isFinite(value);
  if (typeof value !== 'object' || value === null) return typeof value !== 'function';
  return levels > 0 && Object.values(value).every((each) => isSound(each, levels - 1));
}
