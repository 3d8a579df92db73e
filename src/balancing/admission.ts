import type { Candidate } from './candidates.js';
import type { Journey } from './Journey.js';
import { GOOD_SLOWDOWN, LAST_SLOTS_AFTER_MS, LATE_HOLD_MS } from './settings.js';

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

/**
 * Whether a request has looked for a target for so long that its caller is better told to come back.
 * @param journey - The request.
 * @param workMs - Work that it is, in milliseconds.
 * @param now - Monotonic milliseconds.
 */
export function isHopeless(journey: Journey, workMs: number, now: number): boolean {
  if (now + workMs > journey.deadlineAt) return true;
  return now - getLateAt(journey, workMs) > LATE_HOLD_MS;
}
