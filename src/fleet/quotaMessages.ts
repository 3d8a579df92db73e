import type { QuotaAnswer, QuotaAsk } from '../quotas/index.js';

/** Prefix of datagrams about quotas, which distinguishes them from others on the same socket. */
const QUOTA_PREFIX = 'quota ';

/** Returns an unused permit to its issuer. */
export interface QuotaReturn {
  readonly organisation: string;
}

/** Messages about quotas that VMs exchange. */
export type QuotaMessage =
  | ({ readonly kind: 'ask' } & QuotaAsk)
  | ({ readonly kind: 'answer' } & QuotaAnswer)
  | ({ readonly kind: 'return' } & QuotaReturn);

/** A letter for the kind, the organisation, and the other fields. */
type PackedMessage =
  | readonly ['q', string, number]
  | readonly ['a', string, number, boolean, number]
  | readonly ['r', string];

function pack(message: QuotaMessage): PackedMessage {
  const { organisation } = message;
  switch (message.kind) {
    case 'ask':
      return ['q', organisation, message.ask];
    case 'answer':
      return ['a', organisation, message.ask, message.isGranted, message.waitMs];
    default:
      return ['r', organisation];
  }
}

function checkAsk(organisation: unknown, ask: unknown): void {
  if (typeof organisation !== 'string' || !Number.isSafeInteger(ask)) {
    throw new TypeError('quota message names no organisation or ask');
  }
}

/**
 * Whether a datagram is a message about quotas.
 * @param text - Content of the datagram.
 */
export function isQuotaMessage(text: string): boolean {
  return text.startsWith(QUOTA_PREFIX);
}

/**
 * Encodes a message.
 * @param message - The message.
 */
export function writeQuotaMessage(message: QuotaMessage): string {
  return QUOTA_PREFIX + JSON.stringify(pack(message));
}

/**
 * Decodes a message. Throws `SyntaxError` or `TypeError` if the text is no message about quotas.
 * @param text - Content of the datagram.
 */
export function readQuotaMessage(text: string): QuotaMessage {
  const packed = JSON.parse(text.slice(QUOTA_PREFIX.length)) as PackedMessage;
  switch (packed[0]) {
    case 'q': {
      const [, organisation, ask] = packed;
      checkAsk(organisation, ask);
      return { kind: 'ask', organisation, ask };
    }
    case 'a': {
      const [, organisation, ask, isGranted, waitMs] = packed;
      checkAsk(organisation, ask);
      if (typeof isGranted !== 'boolean' || !(Number.isFinite(waitMs) && waitMs >= 0)) {
        throw new TypeError('quota message holds a malformed answer');
      }
      return { kind: 'answer', organisation, ask, isGranted, waitMs };
    }
    case 'r': {
      const [, organisation] = packed;
      checkAsk(organisation, 0);
      return { kind: 'return', organisation };
    }
    default:
      throw new TypeError('quota message is of an unknown kind');
  }
}
