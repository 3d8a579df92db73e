import type { Candidate } from './candidates.js';
import type { ResponseEstimate } from './expectedTime.js';
import type { PendingRequest } from './PendingRequest.js';
import {
  MAX_HEALTHY_FAILURES,
  MAX_NORMAL_SLOWDOWN,
  LAST_SLOTS_MIN_WAIT_MS,
  LATE_MAX_WAIT_MS,
  LATE_MAX_WAIT_UNPROBED_MS,
} from './settings.js';
import type { TargetRecord } from './TargetRecord.js';

/** A target is sounder than another one if that one fails this many times as often. */
const SOUNDER_RATIO = 2;

/**
 * A request waits for a sounder target for this share of the time after which it would be late. If
 * the sounder ones are full for longer, all that wait for them would be late.
 */
const SOUNDER_WAIT_SHARE = 0.5;

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

/**
 * Whether a request may be sent to a target that fails part of its requests. One that may not run
 * twice waits for a slot of a sounder target for some time.
 * @param pending - The request.
 * @param estimate - What to expect of the target.
 * @param fewestFailures - Share of failures of the soundest target that it may be sent to.
 * @param now - Monotonic milliseconds.
 */
export function isSoundEnough(
  { route, arrivedAt, dueAt }: Pick<PendingRequest, 'route' | 'arrivedAt' | 'dueAt'>,
  { failures, adjustedMs }: Pick<ResponseEstimate, 'failures' | 'adjustedMs'>,
  fewestFailures: number,
  now: number,
): boolean {
  const isSound = failures < MAX_HEALTHY_FAILURES || failures < SOUNDER_RATIO * fewestFailures;
  if (route.isIdempotent || isSound) return true;
  return now - arrivedAt >= SOUNDER_WAIT_SHARE * (dueAt - arrivedAt - adjustedMs);
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
