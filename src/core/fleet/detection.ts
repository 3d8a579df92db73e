import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { EntryVmId } from '../model/index.js';
import { isPossiblyRenewed, readMemberLease } from './fence.js';
import { updateGrants } from './grants.js';
import { getNeighbours } from './heartbeats.js';
import { broadcastEnded } from './lapses.js';
import { getKnownMembers } from './peers.js';
import { MISSING_VM_TIMEOUT_MS, RANK_STAGGER_MS, SUSPECT_AFTER_MS } from './periods.js';
import { changeAssignment } from './writeAssignment.js';

/** Rank of this process among the neighbours of a member, by ring distance; the nearest is 0. */
function getRank(state: EntryState, id: EntryVmId): number {
  const { ring } = state.fleet;
  const index = ring.indexOf(id);
  return Math.min(index, ring.length - 1 - index);
}

/**
 * Removes neighbours that are silent and no longer renew their lease. Silence alone is no proof of
 * failure, since only the network between two entry VMs may be interrupted.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function removeSilentMembers(state: EntryState, context: Context): Effect[] {
  const { departed, peers } = state.fleet;
  const effects: Effect[] = [];
  for (const id of getNeighbours(state)) {
    const peer = peers.get(id);
    if (peer === undefined || departed.has(id)) continue;
    const timeoutMs = SUSPECT_AFTER_MS + getRank(state, id) * RANK_STAGGER_MS;
    if (context.now - peer.lastHeardAt < timeoutMs) continue;
    if (isPossiblyRenewed(state, id, context.now)) {
      effects.push(...readMemberLease(state, id, context));
      continue;
    }
    departed.add(id);
    const text = `${id} is silent and does not renew its lease, removing it`;
    effects.push({ kind: 'log', level: 'warn', part: 'fleet', text });
    effects.push(...changeAssignment(state, context));
  }
  return effects;
}

/**
 * Removes a member whose connection was refused. That proves that its process has ended: a process
 * listens before it becomes a member, and the kernel accepts connections for a paused process. The
 * end of its lease need not be awaited.
 */
export function handleSendFailed(
  state: EntryState,
  event: EventOf<'peerSendFailed'>,
  context: Context,
): Effect[] {
  const { departed, ended } = state.fleet;
  if (event.reason !== 'refused' || ended.has(event.peer)) return [];
  if (!getKnownMembers(state).has(event.peer)) return [];
  ended.add(event.peer);
  departed.add(event.peer);
  const text = `${event.peer} refused a connection: its process has ended`;
  return [
    { kind: 'log', level: 'warn', part: 'fleet', text },
    ...broadcastEnded(state, event.peer),
    ...changeAssignment(state, context),
    ...updateGrants(state, context.now),
  ];
}

/**
 * Tracks which members' VMs are missing from the platform's list, provided that the list contains
 * entry VMs at all, and marks those as ended that are missing for long. The list lags but is
 * reliable. Without this rule no process could take over from the sole member of an epoch whose VM
 * is gone.
 */
export function recordMissingVms(
  state: EntryState,
  event: EventOf<'vmListRead'>,
  context: Context,
): Effect[] {
  const { missingVms } = state.fleet;
  const names = new Set(event.vms.map(({ name }) => name));
  const getName = (id: EntryVmId): string => id.split('#')[0] ?? id;
  const known = getKnownMembers(state);
  const hasEntryVms = names.has(getName(state.settings.self.id));
  for (const id of known.keys()) {
    if (!hasEntryVms || names.has(getName(id))) missingVms.delete(id);
    else if (!missingVms.has(id)) missingVms.set(id, context.now);
  }
  for (const [id, since] of missingVms) {
    if (!known.has(id)) missingVms.delete(id);
    else if (context.now - since >= MISSING_VM_TIMEOUT_MS) {
      state.fleet.ended.add(id);
      state.fleet.departed.add(id);
    }
  }
  return [];
}
