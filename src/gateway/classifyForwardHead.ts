import type { AttemptResult, ForwardResult } from '../balancing/index.js';
import { REASON_HEADER } from './forwardHeaders.js';
import type { AnswerHead } from './TargetRequest.js';

/** Statuses by which a VM states that a request has not run and will not run. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([429, 503]);

const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

/** What is read of the head of another VM's answer. */
export type ForwardHead = Pick<AnswerHead, 'status' | 'headers' | 'isSigned' | 'callerRequestId'>;

/**
 * Classifies the head of another VM's answer to a request that was passed on to it.
 * @param callerRequestId - Id of the request, if its caller gave one.
 * @param head - The head.
 * @returns Undefined if it is an answer to be delivered.
 * @example
 * classifyForwardHead('r-1', head)?.kind; // 'refused'
 */
export function classifyForwardHead(
  callerRequestId: string | undefined,
  { status, headers, isSigned, callerRequestId: answeredId }: ForwardHead,
): ForwardResult | undefined {
  if (answeredId !== callerRequestId) return { kind: 'broken' };
  const header = headers[REASON_HEADER];
  const reason = typeof header === 'string' ? header : undefined;
  if (isSigned) return undefined;
  if (REFUSAL_STATUSES.has(status)) return { kind: 'refused', reason };
  // The VM has another configuration, and has not sent the request.
  const hasOtherConfiguration = status === NOT_FOUND || status === UNAUTHORIZED;
  if (hasOtherConfiguration && reason !== undefined) return { kind: 'refused', reason };
  if (reason !== undefined) return { kind: 'failed', reason };
  const isSuccess = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  return isSuccess ? { kind: 'broken' } : undefined;
}

/**
 * Converts the result of a request to another VM.
 * @param end - The result.
 * @param head - What the head of the answer decided, if it did.
 */
export function toForwardResult(
  end: AttemptResult,
  head: ForwardResult | undefined,
): ForwardResult {
  if (head !== undefined) return head;
  if (end.kind === 'answered') return { kind: 'answered', status: end.status };
  return { kind: end.kind === 'unsent' ? 'unsent' : 'broken' };
}
