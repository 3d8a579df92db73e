import { decode, encode } from '@msgpack/msgpack';

/** Result of `decodeMessage` for bytes that are not MessagePack; every check rejects its kind. */
const NOT_A_MESSAGE = { kind: 'notAMessage' } as const;

/**
 * Encodes a message as MessagePack; fields that are undefined are left out.
 * @param message - Plain data.
 */
export function encodeMessage(message: unknown): Buffer {
  const bytes = encode(message, { ignoreUndefined: true });
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/**
 * Decodes MessagePack to plain data, whose shape still has to be checked. Does not throw.
 * @param bytes - The received bytes.
 */
export function decodeMessage(bytes: Buffer): unknown {
  try {
    return decode(bytes);
  } catch {
    return NOT_A_MESSAGE;
  }
}
