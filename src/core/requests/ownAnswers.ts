import type { LocalAnswer, ProblemCode } from '../effects.js';
import type { LocalOutcome } from '../events.js';

/** Status and detail text of each problem that masticlink itself answers with. */
const ANSWERS: Readonly<Record<ProblemCode, { readonly status: number; readonly detail: string }>> =
  {
    'unknown-service': { status: 404, detail: 'no service of this name is configured' },
    'no-capacity': { status: 503, detail: 'no target of the service can take the request now' },
    'queue-too-long': { status: 503, detail: 'too many requests of the service wait already' },
    'deadline-passed': { status: 504, detail: 'the time allowed for the request is over' },
    'not-fresh': { status: 503, detail: 'this entry VM has lost touch with the configuration' },
    leaving: { status: 503, detail: 'this entry VM is leaving' },
    'target-failed': { status: 502, detail: 'the answer did not come' },
    'crash-suspect': { status: 503, detail: 'targets died while they ran requests like this one' },
    'key-in-progress': { status: 409, detail: 'a request with this key is running or undecided' },
    'key-mismatch': { status: 422, detail: 'the key was used with another request' },
    'key-store-unavailable': { status: 503, detail: 'the key could not be recorded' },
    'answer-not-kept': { status: 409, detail: 'the request ran; its answer was not kept' },
  };

/** Shortest retry delay given to a caller, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;

/**
 * Creates an answer of masticlink's own, as opposed to one relayed from a target.
 * @param code - Code of the problem.
 * @param outcome - Whether the request ran; `not-run` only if that is certain.
 * @param retryAfterMs - After how many milliseconds the caller may retry; left out if a retry is no
 * use. Raised to a minimum and rounded up.
 * @example
 * makeOwnAnswer('no-capacity', 'not-run', 200);
 */
export function makeOwnAnswer(
  code: ProblemCode,
  outcome: LocalOutcome,
  retryAfterMs?: number,
): LocalAnswer {
  const { status, detail } = ANSWERS[code];
  if (retryAfterMs === undefined) return { status, outcome, code, detail };
  const rounded = Math.ceil(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs));
  return { status, outcome, code, detail, retryAfterMs: rounded };
}
