import type { Effect } from '../effects.js';
import type { LocalTarget } from './TargetsState.js';

/** Why a target became cold; a label of `masticlink_target_cold_total`. */
export type ColdReason =
  'new' | 'reset' | 'restarted' | 'shed-while-slow' | 'unreachable' | 'zone-back';

/**
 * Marks a target as cold: it gets one request and one new connection at a time until it answers
 * well.
 *
 * A target that has restarted or lost its caches can serve only a fraction of its declared slots.
 * Under full load it fails again, with a burst of resets just after it came back.
 * @param record - The target.
 * @param reason - Why it became cold.
 * @param now - Monotonic milliseconds; answers to requests sent before no longer count.
 */
export function turnCold(record: LocalTarget, reason: ColdReason, now: number): Effect[] {
  const wasCold = record.phase === 'cold';
  record.coldSince = now;
  record.phase = 'cold';
  record.limit = 1;
  record.goodAnswers = 0;
  record.slowScore = 0;
  record.slow = false;
  if (wasCold) return [];
  return [
    {
      kind: 'count',
      metric: 'masticlink_target_cold_total',
      labels: { service: record.config.service, reason },
      by: 1,
    },
    {
      kind: 'log',
      level: 'info',
      part: 'targets',
      text: `${record.config.id} is cold and starts with one request at a time: ${reason}`,
    },
  ];
}
