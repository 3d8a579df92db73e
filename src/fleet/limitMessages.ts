import type { LimitMessage, LimitReport } from '../limits/index.js';

import { checkAmount, checkText } from './messageChecks.js';

/** Prefix of datagrams about limits, which distinguishes them from others on the same socket. */
const LIMIT_PREFIX = 'limit ';

/** Target, time of its start, limit in requests per second or null, age in milliseconds. */
type PackedReport = readonly [string, number, number | null, number];

/** A letter for the kind, the reports unless the kind has none, and the other fields. */
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
  checkAmount(perSecond ?? 0, 'perSecond');
  const numbers = [bornAt, ageMs];
  const isValid = typeof target === 'string' && numbers.every((each) => Number.isFinite(each));
  if (!isValid) throw new TypeError('limit message holds a malformed report');
  return { target, bornAt, perSecond: perSecond ?? undefined, ageMs: Math.max(0, ageMs) };
}

function checkTarget(target: unknown, bornAt: unknown): void {
  checkText(target, 'target');
  checkAmount(bornAt, 'bornAt');
}

/**
 * Whether a datagram is a message about limits.
 * @param text - Content of the datagram.
 */
export function isLimitMessage(text: string): boolean {
  return text.startsWith(LIMIT_PREFIX);
}

/**
 * Encodes a message.
 * @param message - The message.
 */
export function writeLimitMessage(message: LimitMessage): string {
  return LIMIT_PREFIX + JSON.stringify(pack(message));
}

/**
 * Decodes a message. Throws `SyntaxError` or `TypeError` if the text is no message about limits.
 * @param text - Content of the datagram.
 */
export function readLimitMessage(text: string): LimitMessage {
  const packed = JSON.parse(text.slice(LIMIT_PREFIX.length)) as PackedMessage;
  switch (packed[0]) {
    case 'n':
      return { kind: 'limitNews', reports: packed[1].map(unpackReport) };
    case 'r': {
      const [, target, bornAt] = packed;
      checkTarget(target, bornAt);
      return { kind: 'permitReturn', target, bornAt };
    }
    case 'q': {
      const [, reports, ask, target, bornAt] = packed;
      checkTarget(target, bornAt);
      checkAmount(ask, 'ask');
      return { kind: 'permitAsk', reports: reports.map(unpackReport), ask, target, bornAt };
    }
    case 'a': {
      const [, reports, ask, target, bornAt, isGranted, waitMs] = packed;
      checkTarget(target, bornAt);
      checkAmount(ask, 'ask');
      checkAmount(waitMs, 'waitMs');
      if (typeof isGranted !== 'boolean') throw new TypeError('isGranted is not a flag');
      const answer = { ask, target, bornAt, isGranted, waitMs };
      return { kind: 'permitAnswer', reports: reports.map(unpackReport), ...answer };
    }
    default:
      throw new TypeError('limit message is of an unknown kind');
  }
}
