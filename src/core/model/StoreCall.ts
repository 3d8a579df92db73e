/** Version of a stored object; it increases with each write. 0 means that there is no object. */
export type StoreVersion = number;

/** One object of the platform's store. */
export interface StoreEntry {
  readonly key: string;
  readonly version: StoreVersion;
  /** JSON value of at most 1 MB. */
  readonly value: unknown;
}

/** One operation on the store. A pending watch counts as a call. */
export type StoreOp =
  | { readonly op: 'get'; readonly key: string }
  | { readonly op: 'list'; readonly prefix: string }
  | {
      /** Writes the object if its version is still `expect`; 0 creates it. */
      readonly op: 'put';
      readonly key: string;
      readonly value: unknown;
      readonly expect: StoreVersion;
    }
  | { readonly op: 'delete'; readonly key: string; readonly expect: StoreVersion }
  | {
      /** Ends once the object is later than version `after`, or as `unchanged` after `waitMs`. */
      readonly op: 'watch';
      readonly key: string;
      readonly after: StoreVersion;
      readonly waitMs: number;
    };

/** Result of a call. `unknown`: the call may or may not have taken effect. */
export type StoreResult =
  | { readonly kind: 'found'; readonly entry: StoreEntry }
  | { readonly kind: 'listed'; readonly entries: readonly StoreEntry[] }
  | { readonly kind: 'missing' }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'written'; readonly version: StoreVersion }
  | { readonly kind: 'conflict'; readonly version: StoreVersion }
  /** The store rejected the call because of its rate limit; the call had no effect. */
  | { readonly kind: 'throttled'; readonly retryAfterMs: number }
  /** The call provably had no effect: it was not sent, or no connection was established. */
  | { readonly kind: 'unavailable' }
  | { readonly kind: 'unknown' };

/** Classes of store calls, the most urgent first. */
export type StoreClass = 'lease' | 'request' | 'configuration' | 'status';
