import { createHash } from 'node:crypto';

/** Length of a digest in bytes; at 128 bits two keys never have the same one by chance. */
const DIGEST_BYTES = 16;

/**
 * Returns the digest by which an API key is recognised. Keys themselves are neither kept nor told to
 * other VMs.
 * @param key - The key; text is hashed as UTF-8.
 * @example
 * digestApiKey('x42q492cqf75rjvz48wu').length; // 22
 */
export function digestApiKey(key: string | Buffer): string {
  return createHash('sha256').update(key).digest().subarray(0, DIGEST_BYTES).toString('base64url');
}
