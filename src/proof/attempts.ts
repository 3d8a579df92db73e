import type { AttemptEnd, LoadReport, ServiceSpare } from '../core/index.js';
import type { AnswerHead, LiveAttempt, LiveRequest } from './live.js';
import type { VirtualVm } from './VirtualVm.js';

/** What came with an answer's head besides its status. */
export interface AnswerExtras {
  readonly load?: LoadReport;
  readonly spare?: ServiceSpare;
}

/**
 * Ends a request's way through a process.
 * @param vm - The process.
 * @param live - The request.
 * @param end - Whether its answer went out whole.
 */
export function finishRequest(vm: VirtualVm, live: LiveRequest, end: 'complete' | 'cut'): void {
  vm.requests.delete(live.id);
  live.port.ended(end);
}

/**
 * Hands the head of an answer to the core.
 * @param vm - The process.
 * @param attempt - The sending that was answered.
 * @param head - The head.
 * @param extras - What came along.
 */
export function answerAttempt(
  vm: VirtualVm,
  attempt: LiveAttempt,
  head: AnswerHead,
  extras: AnswerExtras,
): void {
  if (attempt.ended !== undefined || attempt.head !== undefined) return;
  attempt.head = head;
  const own = head.kind === 'own' ? head : undefined;
  vm.dispatch({
    kind: 'attemptAnswered',
    attempt: attempt.id,
    status: head.kind === 'replayed' ? head.answer.status : head.status,
    ownOutcome: own?.outcome,
    retryAfterMs: own?.retryAfterMs,
    spare: extras.spare,
    load: extras.load,
  });
}

function getStored(attempt: LiveAttempt) {
  const { head, request } = attempt;
  if (request.asked.key === undefined || head === undefined) return undefined;
  if (head.kind === 'replayed') return head.answer;
  if (head.kind === 'own') return undefined;
  const body = Buffer.from(head.ofUid).toString('base64');
  return { status: head.status, contentType: 'text/plain', body };
}

function releaseConnection(vm: VirtualVm, target: string, end: AttemptEnd): void {
  const idle = vm.idleConnections.get(target);
  if (end === 'complete' && idle !== undefined) idle.count += 1;
  else vm.dispatch({ kind: 'connectionChanged', target, change: 'closed' });
}

/**
 * Ends a sending and tells the core, once.
 * @param vm - The process.
 * @param attempt - The sending.
 * @param end - How it ended.
 */
export function endAttempt(vm: VirtualVm, attempt: LiveAttempt, end: AttemptEnd): void {
  if (attempt.ended !== undefined) return;
  attempt.ended = end;
  attempt.cancelDeadline?.();
  vm.attempts.delete(attempt.id);
  if (end !== 'complete') attempt.cancelRemote?.();
  const { request } = attempt;
  if (request.relayed === attempt.id && end === 'complete') {
    finishRequest(vm, request, 'complete');
  }
  if (attempt.connectionTo !== undefined) releaseConnection(vm, attempt.connectionTo, end);
  vm.dispatch({
    kind: 'attemptEnded',
    attempt: attempt.id,
    end,
    bodyReplayable: true,
    stored: end === 'complete' ? getStored(attempt) : undefined,
  });
}

/**
 * Puts an answer on its way to who asked.
 * @param vm - The process.
 * @param live - The request.
 * @param attempt - The sending whose answer it is.
 * @param spare - How the service stands here, for a peer that forwarded.
 */
export function relay(
  vm: VirtualVm,
  live: LiveRequest,
  attempt: LiveAttempt,
  spare: ServiceSpare | undefined,
): void {
  live.relayed = attempt.id;
  if (attempt.head !== undefined) live.port.answered(attempt.head, spare);
  if (attempt.ended === 'complete') finishRequest(vm, live, 'complete');
}
