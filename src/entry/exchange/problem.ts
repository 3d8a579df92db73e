import type { LocalOutcome, ProblemCode } from '../../core/index.js';

/** Codes of problems that the HTTP layer answers itself, without the core. */
export type AdapterProblemCode =
  | 'malformed-request'
  | 'headers-too-large'
  | 'body-too-large'
  | 'request-timeout'
  | 'upgrade-not-supported'
  | 'wrong-token'
  | 'not-found';

/** An error that is sent to a caller as RFC 9457 problem JSON. */
export interface Problem {
  readonly status: number;
  readonly outcome: LocalOutcome;
  readonly code: ProblemCode | AdapterProblemCode;
  readonly detail: string;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Media type of problem JSON (RFC 9457). */
export const PROBLEM_TYPE = 'application/problem+json';

const MS_PER_SECOND = 1_000;

/**
 * Encodes the body of an error.
 * @param problem - The error.
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
 * Gets the headers of an error, names and values alternating.
 * @param problem - The error.
 * @param bodyBytes - Size of the encoded body in bytes.
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
    // Retry-After has a resolution of whole seconds; the body contains the milliseconds.
    headers.push('Retry-After', String(Math.ceil(problem.retryAfterMs / MS_PER_SECOND)));
  }
  return headers;
}
