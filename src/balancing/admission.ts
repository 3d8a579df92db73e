import type { Candidate } from './candidates.js';
import type { PendingRequest } from './PendingRequest.js';
import {
  MAX_NORMAL_SLOWDOWN,
  LAST_SLOTS_MIN_WAIT_MS,
  LATE_MAX_WAIT_MS,
  LATE_MAX_WAIT_UNPROBED_MS,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * Returns the latest start of work with which a request meets its objective; monotonic
 * milliseconds.
 * @param pending - The request.
 * @param workMs - Estimated work time of the request, in milliseconds.
 */
export function getLatestStartAt(pending: PendingRequest, workMs: number): number {
  return Math.max(pending.arrivedAt, pending.dueAt - workMs);
}

/**
 * Whether a request may be sent to a target now, or has to wait for a better one.
 *
 * This rule protects targets from overload by bursts, or by steady load close to their capacity.
 * Work that starts on a target's last slots takes 1.7 times as long, so that a target with six
 * slots does less with all of them occupied than with four. Requests then miss their objective in
 * the targets' own queues, and the service stays overloaded long after the burst. A request is
 * therefore sent only where it meets its objective without slowing the target down for the next
 * one. A request that misses its objective anyway may use only the slots that are left over.
 * @param pending - The request.
 * @param candidate - The target, with its estimate.
 * @param workMs - Estimated work time of the request, in milliseconds.
 * @param now - Monotonic milliseconds.
 */
export function isAdmitted(
  pending: PendingRequest,
  { record, estimate }: Pick<Candidate, 'record' | 'estimate'>,
  workMs: number,
  now: number,
): boolean {
  const { slot, adjustedMs, hasSpareSlots } = estimate;
  if (slot === 'queued') return false;
  const lateMs = now - getLatestStartAt(pending, workMs);
  const hasWaitedForBetter = now - pending.arrivedAt >= LAST_SLOTS_MIN_WAIT_MS;
  const canUseSlot = slot === 'free' || hasWaitedForBetter;
  if (lateMs < 0) return canUseSlot && now + adjustedMs <= pending.dueAt;
  return hasSpareSlots && (record.reading?.slowdown ?? 1) <= MAX_NORMAL_SLOWDOWN;
}

/** Whether a target has reported its load since the request arrived, or there is no target left. */
function hasHeardFromTarget(
  { arrivedAt }: PendingRequest,
  targets: readonly TargetRecord[],
): boolean {
  return (
    targets.length === 0 ||
    targets.some(({ reading }) => reading !== undefined && reading.at >= arrivedAt)
  );
}

/**
 * Whether a request has waited so long for a target that its caller should be told to retry later.
 *
 * As long as no target has answered since the request arrived, it is unknown whether there are free
 * slots: just after its start a VM opens all its connections at once, and answers take longer than
 * a probe round. Late requests would then be refused although the targets are idle, so they may
 * wait for `LATE_MAX_WAIT_UNPROBED_MS`.
 * @param pending - The request.
 * @param targets - Targets that it may be sent to.
 * @param workMs - Estimated work time of the request, in milliseconds.
 * @param now - Monotonic milliseconds.
 */
export function shouldGiveUp(
  pending: PendingRequest,
  targets: readonly TargetRecord[],
  workMs: number,
  now: number,
): boolean {
  if (now + workMs > pending.deadlineAt) return true;
  const maxWaitMs = hasHeardFromTarget(pending, targets)
    ? LATE_MAX_WAIT_MS
    : LATE_MAX_WAIT_UNPROBED_MS;
  return now - getLatestStartAt(pending, workMs) > maxWaitMs;
}
