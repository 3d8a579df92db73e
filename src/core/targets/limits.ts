import type { LocalTarget } from './TargetsState.js';

/**
 * Counts a good answer. After as many good answers as its limit, a target in cold start doubles the
 * limit and a warm target whose limit was lowered gains one slot, up to the declared slots.
 * @param record - The target.
 */
export function raiseLimit(record: LocalTarget): void {
  const { slots } = record.service.capacity;
  record.goodAnswers += 1;
  if (record.limit >= slots) {
    record.phase = 'warm';
    return;
  }
  if (record.goodAnswers < record.limit) return;
  record.goodAnswers = 0;
  record.limit = record.phase === 'warm' ? record.limit + 1 : Math.min(slots, record.limit * 2);
  if (record.phase === 'cold') record.phase = 'warming';
  if (record.limit >= slots) record.phase = 'warm';
}

/**
 * Halves the limit of a target that refused work, timed out or is slow, down to one request.
 * @param record - The target.
 */
export function halveLimit(record: LocalTarget): void {
  record.limit = Math.max(1, Math.floor(record.limit / 2));
  record.goodAnswers = 0;
}
