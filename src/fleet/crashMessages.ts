import type { CrashNews, SuspectReport, TargetObservation } from '../crashes/index.js';

/** Prefix of datagrams about crashes, which distinguishes them from others on the same socket. */
const CRASH_PREFIX = 'crash ';

/** Target, start of its run, age of the observation in milliseconds. */
type PackedObservation = readonly [string, number, number];

/** Fingerprint, crashes, age of the latest answer in milliseconds or null. */
type PackedSuspect = readonly [string, readonly PackedObservation[], number | null];

/** Suspects, and runs that have answered. */
type PackedNews = readonly [readonly PackedSuspect[], readonly PackedObservation[]];

function packObservation({ target, bornAt, ageMs }: TargetObservation): PackedObservation {
  return [target, bornAt, ageMs];
}

function unpackObservation([target, bornAt, ageMs]: PackedObservation): TargetObservation {
  const isValid = typeof target === 'string' && Number.isFinite(bornAt) && Number.isFinite(ageMs);
  if (!isValid) throw new TypeError('crash message holds a malformed observation');
  return { target, bornAt, ageMs: Math.max(0, ageMs) };
}

function unpackSuspect([fingerprint, crashes, answeredAgeMs]: PackedSuspect): SuspectReport {
  const isValid = typeof fingerprint === 'string' && Number.isFinite(answeredAgeMs ?? 0);
  if (!isValid) throw new TypeError('crash message holds a malformed suspect');
  return {
    fingerprint,
    crashes: crashes.map(unpackObservation),
    answeredAgeMs: answeredAgeMs === null ? undefined : Math.max(0, answeredAgeMs),
  };
}

/**
 * Whether a datagram is a message about crashes.
 * @param text - Content of the datagram.
 */
export function isCrashMessage(text: string): boolean {
  return text.startsWith(CRASH_PREFIX);
}

/**
 * Encodes what is told about crashes.
 * @param news - The news.
 */
export function writeCrashMessage({ suspects, alive }: CrashNews): string {
  const packed: PackedNews = [
    suspects.map(({ fingerprint, crashes, answeredAgeMs }) => [
      fingerprint,
      crashes.map(packObservation),
      answeredAgeMs ?? null,
    ]),
    alive.map(packObservation),
  ];
  return CRASH_PREFIX + JSON.stringify(packed);
}

/**
 * Decodes a message. Throws `SyntaxError` or `TypeError` if the text is no message about crashes.
 * @param text - Content of the datagram.
 */
export function readCrashMessage(text: string): CrashNews {
  const [suspects, alive] = JSON.parse(text.slice(CRASH_PREFIX.length)) as PackedNews;
  return { suspects: suspects.map(unpackSuspect), alive: alive.map(unpackObservation) };
}
