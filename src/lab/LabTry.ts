import type { LocalAnswerReason } from '../balancing/index.js';

/** Result of a caller's try. */
export type TryResult =
  | { readonly kind: 'answered' }
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      readonly reason?: LocalAnswerReason;
    }
  | { readonly kind: 'failed' };

/** One try of a caller request, sent to one VM. */
export interface LabTry {
  readonly path: string;
  readonly workMs: number;
  readonly allowedMs: number;
  /** Digest of the caller's API key; undefined if it sends none. */
  readonly keyDigest?: string;
  readonly onRun: () => void;
  readonly onEnd: (end: TryResult) => void;
}
