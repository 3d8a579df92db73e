import { isIP } from 'node:net';

/** Type of a value in a file: how its text is parsed and described. */
export interface ValueType<T> {
  /** Name of the type. */
  readonly name: string;
  /** Description of valid values, which completes "expected …"; also in the operators' documentation. */
  readonly expected: string;
  /** Parses a value; gives undefined if the text is invalid. */
  parse(text: string): T | undefined;
}

/** Inclusive bounds of a number. */
export interface Range {
  readonly min: number;
  readonly max: number;
}

const DURATION_UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

const BYTE_UNITS: Readonly<Record<string, number>> = { B: 1, KB: 1_024, MB: 1_048_576 };

function getIfInRange(value: number, range: Range): number | undefined {
  return Number.isFinite(value) && value >= range.min && value <= range.max ? value : undefined;
}

function parseWithUnit(text: string, units: Readonly<Record<string, number>>): number {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text);
  const factor = match && Object.hasOwn(units, match[2]) ? units[match[2]] : Number.NaN;
  return Number(match?.[1]) * factor;
}

function formatDuration(ms: number): string {
  const fitting = Object.entries(DURATION_UNITS_MS).filter(([, unit]) => ms % unit === 0 && ms > 0);
  const [name, unit] = fitting.at(-1) ?? ['ms', 1];
  return `${ms / unit}${name}`;
}

/**
 * A duration with its unit, such as `250ms`, parsed to milliseconds.
 * @param range - Bounds in milliseconds.
 */
export function duration(range: Range): ValueType<number> {
  return {
    name: 'duration',
    expected: `a duration with its unit (ms, s, m, h, d) from ${formatDuration(range.min)} to ${formatDuration(range.max)}`,
    parse: (text) => getIfInRange(parseWithUnit(text, DURATION_UNITS_MS), range),
  };
}

/**
 * A size with its unit, such as `64KB`, parsed to bytes.
 * @param range - Bounds in bytes.
 */
export function size(range: Range): ValueType<number> {
  return {
    name: 'size',
    expected: `a size with its unit (B, KB, MB) from ${range.min}B to ${range.max}B`,
    parse: (text) => getIfInRange(parseWithUnit(text, BYTE_UNITS), range),
  };
}

/**
 * A whole number.
 * @param range - Bounds.
 */
export function integer(range: Range): ValueType<number> {
  return {
    name: 'integer',
    expected: `a whole number from ${range.min} to ${range.max}`,
    parse: (text) => (/^\d+$/.test(text) ? getIfInRange(Number(text), range) : undefined),
  };
}

/**
 * A share in percent, such as `1%`, parsed to a fraction of 1.
 * @param range - Bounds in percent.
 */
export function share(range: Range): ValueType<number> {
  return {
    name: 'share',
    expected: `a share in percent from ${range.min}% to ${range.max}%`,
    parse(text) {
      const match = /^(\d+(?:\.\d+)?)\s*%$/.exec(text);
      const percent = match ? getIfInRange(Number(match[1]), range) : undefined;
      return percent === undefined ? undefined : Number((percent / 100).toFixed(8));
    },
  };
}

/**
 * A number that may have a fraction, such as `0.2`.
 * @param range - Bounds.
 */
export function decimal(range: Range): ValueType<number> {
  return {
    name: 'decimal',
    expected: `a number from ${range.min} to ${range.max}`,
    parse: (text) => (/^\d+(?:\.\d+)?$/.test(text) ? getIfInRange(Number(text), range) : undefined),
  };
}

function textMatching(name: string, expected: string, pattern: RegExp): ValueType<string> {
  return { name, expected, parse: (text) => (pattern.test(text) ? text : undefined) };
}

/** Name of a service, availability zone or region. */
export const NAME = textMatching(
  'name',
  'a name of lower-case letters, digits and hyphens that begins with a letter, at most 63 long',
  /^[a-z][a-z0-9-]{0,62}$/,
);

/** Name of a VM. */
export const VM_NAME = textMatching(
  'VM name',
  'a VM name of letters, digits, dots, hyphens and underscores, at most 128 long',
  /^[A-Za-z0-9][\w.-]{0,127}$/,
);

/** Path of a URL. */
export const PATH = textMatching(
  'path',
  'a path that begins with "/", without spaces, "?" or "#"',
  /^\/[^\s?#]*$/,
);

/** Path prefix without a trailing slash, so that each prefix has only one form. */
export const PATH_PREFIX = textMatching(
  'path prefix',
  'a path prefix such as /horaires, without an ending "/"',
  /^(?:\/[^\s?#/]+)+$/,
);

/** Secret token; the minimum length prevents guessing. */
export const TOKEN = textMatching(
  'token',
  'a token of at least 16 characters without spaces',
  /^[!-~]{16,512}$/,
);

/**
 * Parses an address into IP number and port; gives undefined if it is invalid.
 * @param text - Such as `10.0.0.7:8080` or `[fd00::7]:8080`.
 */
export function parseAddress(text: string): { host: string; port: number } | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  return isIP(host) !== 0 && port <= 65_535 ? { host, port } : undefined;
}

/** IP number and port to listen on; for port 0 the operating system selects one. */
export const LISTEN_ADDRESS: ValueType<{ host: string; port: number }> = {
  name: 'address',
  expected: 'an IP number and port such as 10.0.0.7:8080',
  parse: parseAddress,
};

/** IP number and port to connect to. */
export const ADDRESS: ValueType<string> = {
  name: 'address',
  expected: 'an IP number and port such as 10.0.0.7:8080',
  parse: (text) => ((parseAddress(text)?.port ?? 0) > 0 ? text : undefined),
};

/** HTTP or HTTPS URL, stored without trailing slashes. */
export const HTTP_URL: ValueType<string> = {
  name: 'URL',
  expected: 'a URL such as http://10.0.0.5:7000',
  parse(text) {
    if (!URL.canParse(text)) return undefined;
    const { protocol } = new URL(text);
    return protocol === 'http:' || protocol === 'https:' ? text.replace(/\/+$/, '') : undefined;
  },
};

/**
 * One of a fixed set of words.
 * @param words - Allowed words.
 */
export function choice<const W extends string>(words: readonly W[]): ValueType<W> {
  return {
    name: 'choice',
    expected: `one of ${words.join(', ')}`,
    parse: (text) => words.find((word) => word === text),
  };
}

function list<T>(name: string, expected: string, item: (text: string) => T | undefined) {
  return {
    name,
    expected,
    parse(text: string): readonly T[] | undefined {
      const items = text === '' ? [] : text.split(',').map((part) => item(part.trim()));
      return items.every((value) => value !== undefined) ? items : undefined;
    },
  };
}

/** HTTP methods, separated by commas. */
export const METHODS = list(
  'methods',
  'methods in capitals separated by commas, such as GET, HEAD',
  (text) => (/^[A-Z]{1,16}$/.test(text) ? text : undefined),
);

/** HTTP error statuses, separated by commas. */
export const STATUSES = list(
  'statuses',
  'statuses from 400 to 599 separated by commas, such as 429, 503',
  (text) => (/^[45]\d\d$/.test(text) ? Number(text) : undefined),
);

/** IP numbers and ports, separated by commas. */
export const ADDRESS_LIST = list(
  'addresses',
  'IP numbers and ports separated by commas, such as 10.0.0.7:8080, 10.0.0.8:8080',
  ADDRESS.parse,
);
