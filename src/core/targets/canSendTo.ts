import type { EntryState } from '../EntryState.js';
import { canDrive } from '../fleet/index.js';
import type { TargetId } from '../model/index.js';

/**
 * Whether this process may send to a target now.
 * @param state - The process's state; read only.
 * @param target - Identity of the target.
 * @param now - Monotonic milliseconds, read just before sending.
 */
export function canSendTo(state: EntryState, target: TargetId, now: number): boolean {
  const record = state.targets.records.get(target);
  return record !== undefined && canDrive(state, record.partition, now);
}
