import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { getHolder } from '../fleet/index.js';
import type { LocalTarget } from './TargetsState.js';

/**
 * Reports the outstanding requests of a released target to its next holder. Once none is left, it
 * drops the target and closes its connections.
 *
 * Without the report the next holder would fill slots that are still in use, and the target would
 * have more requests than slots just after its holder changed.
 * @param state - The process's state.
 * @param record - The target; ignored unless it was removed.
 */
export function updateReleasedTarget(state: EntryState, record: LocalTarget): Effect[] {
  if (record.hold !== 'removed') return [];
  const effects: Effect[] = [];
  const target = record.config.id;
  const outstanding = record.outstanding.size;
  const holder = getHolder(record.partition, state.fleet.assignment.members);
  if (holder !== undefined && holder.id !== state.settings.self.id) {
    const message = { kind: 'handoverDrained', target, outstanding } as const;
    const { id: peer, peerAddress } = holder;
    effects.push({ kind: 'sendPeer', peer, peerAddress, message });
  }
  if (outstanding > 0) return effects;
  state.targets.records.delete(target);
  effects.push({ kind: 'closeConnections', target });
  return effects;
}
