import type { Candidate } from './candidates.js';
import type { Journey } from './Journey.js';
import { GOOD_SLOWDOWN, LAST_SLOTS_AFTER_MS, LATE_HOLD_MS, LATE_UNHEARD_MS } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * When a request's objective can't be met any more; monotonic milliseconds.
 * @param journey - The request.
 * @param workMs - Work that it is, in milliseconds.
 */
export function getLateAt(journey: Journey, workMs: number): number {
  return Math.max(journey.arrivedAt, journey.dueAt - workMs);
}

/**
 * Whether a request may go to a target now, or rather waits for a better one.
 *
 * This answers to load that comes in bursts, or that a service's targets bear only just. Work that
 * starts on a target's last slots takes 1.7 times as long, so that a target with six slots gets less
 * done with all of them full than with four; requests in targets' own queues then all miss their
 * objective, and the service stays so for long after the burst. So a request goes only where it
 * meets its objective without making the target slower for the next; one that misses it anyway takes
 * what the others leave.
 * @param journey - The request.
 * @param candidate - The target, with what is expected there.
 * @param workMs - Work that the request is, in milliseconds.
 * @param now - Monotonic milliseconds.
 */
export function isAdmitted(
  journey: Journey,
  { record, expected }: Pick<Candidate, 'record' | 'expected'>,
  workMs: number,
  now: number,
): boolean {
  const { place, likelyMs, isRoomy } = expected;
  if (place === 'queued') return false;
  const lateMs = now - getLateAt(journey, workMs);
  const hasWaited = now - journey.arrivedAt >= LAST_SLOTS_AFTER_MS;
  const isOpen = place === 'free' || hasWaited;
  if (lateMs < 0) return isOpen && now + likelyMs <= journey.dueAt;
  return isRoomy && (record.reading?.slowdown ?? 1) <= GOOD_SLOWDOWN;
}

/** Whether a target has told its load since the request came, or none is left that could. */
function hasHeard({ arrivedAt }: Journey, targets: readonly TargetRecord[]): boolean {
  return (
    targets.length === 0 ||
    targets.some(({ reading }) => reading !== undefined && reading.at >= arrivedAt)
  );
}

/**
 * Whether a request has looked for a target for so long that its caller is better told to come back.
 *
 * While no target has answered since it came, nothing says that there is no room: just after a start
 * a VM opens all its connections at once, and answers take longer than a round. Those who were late
 * already were refused for that, by VMs whose targets were idle.
 * @param journey - The request.
 * @param targets - Those that it may go to.
 * @param workMs - Work that it is, in milliseconds.
 * @param now - Monotonic milliseconds.
 */
export function isHopeless(
  journey: Journey,
  targets: readonly TargetRecord[],
  workMs: number,
  now: number,
): boolean {
  if (now + workMs > journey.deadlineAt) return true;
  const holdMs = hasHeard(journey, targets) ? LATE_HOLD_MS : LATE_UNHEARD_MS;
  return now - getLateAt(journey, workMs) > holdMs;
}
