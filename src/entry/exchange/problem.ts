import type { LocalOutcome, ProblemCode } from '../../core/index.js';

/** Why the adapter refuses a request before the core hears of it. */
export type AdapterProblemCode =
  | 'malformed-request'
  | 'headers-too-large'
  | 'body-too-large'
  | 'request-timeout'
  | 'upgrade-not-supported'
  | 'wrong-token'
  | 'not-found';

/** An error as masticlink tells it to a caller, as RFC 9457 problem JSON. */
export interface Problem {
  readonly status: number;
  readonly outcome: LocalOutcome;
  readonly code: ProblemCode | AdapterProblemCode;
  readonly detail: string;
  /** When the caller may come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Media type of RFC 9457. */
export const PROBLEM_TYPE = 'application/problem+json';

const MS_PER_SECOND = 1_000;

/**
 * The body of an error.
 * @param problem - What to tell.
 * @example
 * writeProblemBody({ status: 404, outcome: 'not-run', code: 'not-found', detail: 'no such page' });
 */
export function writeProblemBody(problem: Problem): Buffer {
  return Buffer.from(
    JSON.stringify({
      type: `urn:masticlink:problem:${problem.code}`,
      title: problem.code,
      status: problem.status,
      detail: problem.detail,
      outcome: problem.outcome,
      retryAfterMs: problem.retryAfterMs,
    }),
  );
}

/**
 * Headers of an error, name and value in turn, for a body of a given size.
 * @param problem - What to tell.
 * @param bodyBytes - Size of the body.
 */
export function getProblemHeaders(problem: Problem, bodyBytes: number): string[] {
  const headers = [
    'Content-Type',
    PROBLEM_TYPE,
    'Content-Length',
    String(bodyBytes),
    'Masticlink-Outcome',
    problem.outcome,
  ];
  if (problem.retryAfterMs !== undefined) {
    // Retry-After counts whole seconds; the body has the milliseconds.
    headers.push('Retry-After', String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND)));
  }
  return headers;
}
