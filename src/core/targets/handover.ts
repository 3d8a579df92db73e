import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { PartitionId, TargetHandover } from '../model/index.js';
import type { LocalTarget } from './TargetsState.js';

/** How long a handover is kept for a target that this process doesn't hold, in milliseconds. */
const HANDOVER_TTL_MS = 10_000;

/**
 * Returns the state of a partition's targets that the next holder needs.
 * @param state - The process's state.
 * @param partition - The partition that this process releases.
 * @example
 * const targets = getHandover(state, 'zone-a/3');
 */
export function getHandover(state: EntryState, partition: PartitionId): TargetHandover[] {
  const handovers: TargetHandover[] = [];
  for (const record of state.targets.records.values()) {
    if (record.partition !== partition) continue;
    handovers.push({
      target: record.config.id,
      phase: record.phase,
      limit: record.limit,
      outstanding: record.outstanding.size,
    });
  }
  return handovers;
}

/**
 * Continues a newly held target with the phase and limit that its previous holder handed over.
 * Requests that the previous holder still has there take slots until they must have ended. Without
 * a handover a target stays cold, because it may have restarted.
 * @param record - The target.
 * @param handover - What its previous holder handed over.
 * @param now - Monotonic milliseconds.
 */
export function applyTargetHandover(
  record: LocalTarget,
  handover: TargetHandover,
  now: number,
): void {
  record.inherited = handover.outstanding;
  record.inheritedUntil = now + record.service.timeoutMs;
  if (record.failures > 0 || record.phase !== 'cold') return;
  record.phase = handover.phase;
  record.limit = Math.max(1, Math.min(handover.limit, record.service.capacity.slots));
}

/**
 * Applies the handover of targets by their previous holder, or keeps it for targets that this
 * process doesn't hold yet.
 * @param state - The process's state.
 * @param targets - What the previous holder handed over.
 * @param context - Current time and random source.
 * @example
 * const effects = applyHandover(state, message.targets, context);
 */
export function applyHandover(
  state: EntryState,
  targets: readonly TargetHandover[],
  context: Context,
): Effect[] {
  for (const handover of targets) {
    const record = state.targets.records.get(handover.target);
    if (record !== undefined && record.hold !== 'removed') {
      applyTargetHandover(record, handover, context.now);
    } else {
      state.targets.handovers.set(handover.target, { handover, receivedAt: context.now });
    }
  }
  return [];
}

/**
 * Forgets handovers of targets that this process did not come to hold in time.
 * @param state - The process's state.
 * @param now - Monotonic milliseconds.
 */
export function expireHandovers(state: EntryState, now: number): void {
  for (const [target, { receivedAt }] of state.targets.handovers) {
    if (now - receivedAt > HANDOVER_TTL_MS) state.targets.handovers.delete(target);
  }
}

/** Handles a message of the previous holder that it has fewer requests left at a target. */
export const handleHandoverDrained: MessageHandler<'handoverDrained'> = (state, _from, message) => {
  const record = state.targets.records.get(message.target);
  if (record !== undefined) record.inherited = Math.min(record.inherited, message.outstanding);
  const pending = state.targets.handovers.get(message.target);
  if (pending !== undefined && message.outstanding < pending.handover.outstanding) {
    const handover = { ...pending.handover, outstanding: message.outstanding };
    state.targets.handovers.set(message.target, { ...pending, handover });
  }
  return [];
};
