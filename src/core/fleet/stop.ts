import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { getLeaseKey } from './fence.js';
import { sendHeartbeats } from './heartbeats.js';
import { STOP_STORE_TIMEOUT_MS } from './periods.js';
import { isClosing } from './queries.js';
import { changeAssignment } from './writeAssignment.js';

/** Begins a planned stop: peers stop giving out its address, and it leaves the assignment. */
export function handleStopRequested(
  state: EntryState,
  _event: unknown,
  context: Context,
): Effect[] {
  const { fleet } = state;
  if (fleet.stopping) return [];
  fleet.stopping = true;
  fleet.stopRequestedAt = context.now;
  return [
    { kind: 'log', level: 'info', part: 'fleet', text: 'planned stop started' },
    ...sendHeartbeats(state, context),
    ...changeAssignment(state, context),
  ];
}

function hasOpenWork(state: EntryState): boolean {
  return state.requests.requests.size > 0 || state.requests.attempts.size > 0;
}

function exit(state: EntryState): Effect[] {
  state.fleet.hasExited = true;
  return [
    {
      kind: 'log',
      level: 'info',
      part: 'fleet',
      text: 'all requests have ended, exiting',
    },
    { kind: 'exit' },
  ];
}

function deleteOwnLease(state: EntryState, context: Context): Effect[] {
  const { lease } = state.fleet;
  lease.isPending = true;
  const op = {
    op: 'delete',
    key: getLeaseKey(state.settings.self.id),
    expect: lease.version,
  } as const;
  const call = { storeClass: 'lease', purpose: 'memberDelete', tag: 'self', op } as const;
  return enqueueStoreCall(state, call, context);
}

/**
 * Continues a planned stop. The process serves until the address answers that name it have expired.
 * Then it completes its open requests, deletes its lease and exits. It exits even if the store
 * doesn't respond: a refused connection shows the others that it has ended.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function continueStop(state: EntryState, context: Context): Effect[] {
  const { fleet } = state;
  if (fleet.hasExited || !isClosing(state, context.now)) return [];
  if (hasOpenWork(state)) {
    fleet.idleSince = undefined;
    return [];
  }
  fleet.idleSince ??= context.now;
  const canWaitForStore = context.now - fleet.idleSince < STOP_STORE_TIMEOUT_MS;
  if (fleet.lease.version === 0 || !canWaitForStore) return exit(state);
  return fleet.lease.isPending ? [] : deleteOwnLease(state, context);
}

/** Exits once the own lease is deleted, unless a request arrived in the meantime. */
export function handleOwnLeaseDeleted(
  state: EntryState,
  isDone: boolean,
  context: Context,
): Effect[] {
  state.fleet.lease.isPending = false;
  if (!isDone) return [];
  state.fleet.lease.version = 0;
  return continueStop(state, context);
}
