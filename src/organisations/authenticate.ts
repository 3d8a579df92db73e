import type { Organisation, Route } from '../balancing/model.js';
import type { KeyDirectory } from './KeyDirectory.js';

/** Whether a caller may use a route, and for which organisation. */
export type Access =
  | { readonly kind: 'allowed'; readonly organisation: Organisation | undefined }
  /** The key is missing or belongs to no organisation. */
  | { readonly kind: 'unknown' };

/**
 * Decides whether a caller may use a route.
 * @param keys - Keys of the configuration in force.
 * @param route - Route of the request.
 * @param digest - Digest of the caller's key; undefined if it sent none.
 * @example
 * const access = authenticate(state.keys, route, event.keyDigest);
 */
export function authenticate(
  keys: KeyDirectory,
  { isAuthExempt = false }: Pick<Route, 'isAuthExempt'>,
  digest: string | undefined,
): Access {
  const organisation = digest === undefined ? undefined : keys.find(digest);
  if (organisation !== undefined || !keys.isRequired || isAuthExempt) {
    return { kind: 'allowed', organisation };
  }
  return { kind: 'unknown' };
}
