import { createHash } from 'node:crypto';

/** Length of a fingerprint in characters, of six bits each. */
const FINGERPRINT_LENGTH = 14;

/** What a request asks for. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with its query string. */
  readonly path: string;
  /** Undefined if the request has no body. */
  readonly body: Buffer | undefined;
}

/**
 * Returns a hash by which copies of a request are recognised at all entry VMs. Headers do not count:
 * some differ from copy to copy, and none names the caller.
 * @param content - What the request asks for.
 * @example
 * createFingerprint({ method: 'GET', host: 'door.example', path: '/today', body: undefined });
 */
export function createFingerprint({ method, host, path, body }: RequestContent): string {
  const hash = createHash('sha1').update(`${method} ${host.toLowerCase()} ${path}\n`);
  if (body !== undefined) hash.update(body);
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
}
