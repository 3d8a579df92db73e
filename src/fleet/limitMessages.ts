import type { LimitMessage, LimitReport } from '../limits/index.js';

/** Begins each datagram about limits, which tells it from others on the same socket. */
const PREFIX = 'limit ';

/** Target, its start, requests a second or null, age. */
type PackedReport = readonly [string, number, number | null, number];

/** A letter for the kind, reports if there are any, and what else there is of it. */
type PackedMessage =
  | readonly ['n', readonly PackedReport[]]
  | readonly ['r', string, number]
  | readonly ['q', readonly PackedReport[], number, string, number]
  | readonly ['a', readonly PackedReport[], number, string, number, boolean, number];

function packReports(reports: readonly LimitReport[]): PackedReport[] {
  return reports.map(({ target, bornAt, perSecond, ageMs }) => [
    target,
    bornAt,
    perSecond ?? null,
    ageMs,
  ]);
}

function pack(message: LimitMessage): PackedMessage {
  switch (message.kind) {
    case 'limitNews':
      return ['n', packReports(message.reports)];
    case 'permitAsk':
      return ['q', packReports(message.reports), message.ask, message.target, message.bornAt];
    case 'permitReturn':
      return ['r', message.target, message.bornAt];
    default: {
      const { ask, target, bornAt, isGranted, waitMs } = message;
      return ['a', packReports(message.reports), ask, target, bornAt, isGranted, waitMs];
    }
  }
}

function unpackReport([target, bornAt, perSecond, ageMs]: PackedReport): LimitReport {
  const figures = [bornAt, perSecond ?? 0, ageMs];
  const isReadable = typeof target === 'string' && figures.every((each) => Number.isFinite(each));
  if (!isReadable) throw new TypeError('the datagram holds no report on a limit');
  return { target, bornAt, perSecond: perSecond ?? undefined, ageMs: Math.max(0, ageMs) };
}

/**
 * Whether a datagram is a message about limits.
 * @param text - What it says.
 */
export function isLimitMessage(text: string): boolean {
  return text.startsWith(PREFIX);
}

/**
 * Writes a message.
 * @param message - The message.
 */
export function writeLimitMessage(message: LimitMessage): string {
  return PREFIX + JSON.stringify(pack(message));
}

/**
 * Reads a message; throws if the text is none.
 * @param text - What came.
 */
export function readLimitMessage(text: string): LimitMessage {
  const packed = JSON.parse(text.slice(PREFIX.length)) as PackedMessage;
  switch (packed[0]) {
    case 'n':
      return { kind: 'limitNews', reports: packed[1].map(unpackReport) };
    case 'r': {
      const [, target, bornAt] = packed;
      return { kind: 'permitReturn', target, bornAt };
    }
    case 'q': {
      const [, reports, ask, target, bornAt] = packed;
      return { kind: 'permitAsk', reports: reports.map(unpackReport), ask, target, bornAt };
    }
    case 'a': {
      const [, reports, ask, target, bornAt, isGranted, waitMs] = packed;
      const answer = { ask, target, bornAt, isGranted, waitMs };
      return { kind: 'permitAnswer', reports: reports.map(unpackReport), ...answer };
    }
    default:
      throw new TypeError('the datagram is no message about limits');
  }
}
