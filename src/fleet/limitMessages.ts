import type { LimitMessage, LimitWord } from '../limits/index.js';

/** Begins each datagram about limits, which tells it from others on the same socket. */
const PREFIX = 'limit ';

/** Target, its start, requests a second or null, age. */
type PackedWord = readonly [string, number, number | null, number];

/** A letter for the kind, words if there are any, and what else there is of it. */
type PackedMessage =
  | readonly ['n', readonly PackedWord[]]
  | readonly ['r', string, number]
  | readonly ['q', readonly PackedWord[], number, string, number]
  | readonly ['a', readonly PackedWord[], number, string, number, boolean, number];

function packWords(words: readonly LimitWord[]): PackedWord[] {
  return words.map(({ target, bornAt, perSecond, ageMs }) => [
    target,
    bornAt,
    perSecond ?? null,
    ageMs,
  ]);
}

function pack(message: LimitMessage): PackedMessage {
  switch (message.kind) {
    case 'limitNews':
      return ['n', packWords(message.words)];
    case 'permitAsk':
      return ['q', packWords(message.words), message.ask, message.target, message.bornAt];
    case 'permitReturn':
      return ['r', message.target, message.bornAt];
    default: {
      const { ask, target, bornAt, isGranted, waitMs } = message;
      return ['a', packWords(message.words), ask, target, bornAt, isGranted, waitMs];
    }
  }
}

function unpackWord([target, bornAt, perSecond, ageMs]: PackedWord): LimitWord {
  const figures = [bornAt, perSecond ?? 0, ageMs];
  const isReadable = typeof target === 'string' && figures.every((each) => Number.isFinite(each));
  if (!isReadable) throw new TypeError('the datagram holds no word on a limit');
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
      return { kind: 'limitNews', words: packed[1].map(unpackWord) };
    case 'r': {
      const [, target, bornAt] = packed;
      return { kind: 'permitReturn', target, bornAt };
    }
    case 'q': {
      const [, words, ask, target, bornAt] = packed;
      return { kind: 'permitAsk', words: words.map(unpackWord), ask, target, bornAt };
    }
    case 'a': {
      const [, words, ask, target, bornAt, isGranted, waitMs] = packed;
      const answer = { ask, target, bornAt, isGranted, waitMs };
      return { kind: 'permitAnswer', words: words.map(unpackWord), ...answer };
    }
    default:
      throw new TypeError('the datagram is no message about limits');
  }
}
