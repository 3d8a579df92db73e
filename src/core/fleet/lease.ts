import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { LeaseRecord } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import { getLeaseKey } from './fence.js';
import { getLeaseDuration, getRenewPeriod } from './periods.js';
import { isClosing } from './queries.js';
import { readAssignment } from './writeAssignment.js';

/** Prefix of the nonce of a write that creates the lease object. */
const CREATE_PREFIX = 'create';
const RENEW_PREFIX = 'renew';

/** Most recent writes whose send times are kept, since their results may still become known. */
const MAX_RECENT_WRITES = 6;

/** A renewal may be this early, since the periodic job would otherwise be up to a period late. */
const EARLY_RENEWAL_MS = 60;

/** Jitter of the first assignment write, for processes that start at the same time. */
const JOIN_JITTER_MS = 250;

function getDuration(state: EntryState): number {
  return getLeaseDuration(state.settings, state.fleet.assignment.members.length);
}

/** Updates the time until which this process may act. */
export function updateLeaseEnd(state: EntryState): void {
  const { lease } = state.fleet;
  state.fleet.leaseEnd = Math.max(lease.storeExpiry, lease.majorityExpiry);
}

function makeLeaseRecord(state: EntryState, nonce: string): LeaseRecord {
  const { fleet, settings } = state;
  return {
    member: settings.self,
    durationMs: getDuration(state),
    appliedEpoch: fleet.assignment.epoch,
    generation: state.configuration.current.generation,
    leaving: fleet.stopping,
    released: false,
    nonce,
  };
}

function writeLease(state: EntryState, context: Context): Effect[] {
  const { lease } = state.fleet;
  const { id } = state.settings.self;
  const nonce = `${lease.version === 0 ? CREATE_PREFIX : RENEW_PREFIX}:${lease.nextNonce}`;
  lease.nextNonce += 1;
  lease.isPending = true;
  lease.lastWriteAt = context.now;
  const op = {
    op: 'put',
    key: getLeaseKey(id),
    value: makeLeaseRecord(state, nonce),
    expect: lease.version,
  } as const;
  const call = { storeClass: 'lease', purpose: 'leaseWrite', tag: nonce, op } as const;
  return enqueueStoreCall(state, call, context);
}

function readOwnLease(state: EntryState, context: Context): Effect[] {
  state.fleet.lease.isPending = true;
  const op = { op: 'get', key: getLeaseKey(state.settings.self.id) } as const;
  const call = { storeClass: 'lease', purpose: 'leaseRead', tag: '', op } as const;
  return enqueueStoreCall(state, call, context);
}

/**
 * Creates the lease, activates it, or renews it when a renewal is due.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function maintainLease(state: EntryState, context: Context): Effect[] {
  const { assignment, hasExited, lease } = state.fleet;
  if (hasExited || lease.isPending) return [];
  if (lease.version === 0 && isClosing(state, context.now)) return [];
  if (lease.version > 0 && !lease.isActive) {
    lease.isPending = true;
    return readAssignment(state, 'lease', context);
  }
  const period = getRenewPeriod(state.settings, assignment.members.length);
  const isDue = context.now - lease.lastWriteAt >= period - EARLY_RENEWAL_MS;
  return lease.version === 0 || isDue ? writeLease(state, context) : [];
}

/** Records a write that took effect: the lease starts when the write was sent. */
function recordWrite(
  state: EntryState,
  nonce: string,
  version: number,
  sentAt: number,
  context: Context,
): Effect[] {
  const { lease } = state.fleet;
  lease.version = version;
  if (nonce.startsWith(CREATE_PREFIX)) {
    lease.isActive = false;
    return maintainLease(state, context);
  }
  if (lease.isActive) lease.storeExpiry = Math.max(lease.storeExpiry, sentAt + getDuration(state));
  updateLeaseEnd(state);
  return [];
}

/** Handles the result of a write of the own lease. */
export function handleLeaseWritten(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { lease } = state.fleet;
  const { result, sentAt, tag } = event;
  lease.isPending = false;
  lease.writes.set(tag, sentAt);
  const [oldest] = lease.writes.keys();
  if (lease.writes.size > MAX_RECENT_WRITES && oldest !== undefined) lease.writes.delete(oldest);
  if (result.kind === 'written') return recordWrite(state, tag, result.version, sentAt, context);
  const isOutcomeUnknown = state.guards.readBackAfterUnknown(result);
  if (isOutcomeUnknown || result.kind === 'conflict') return readOwnLease(state, context);
  return [];
}

/** Finds out by the nonce which write of the lease took effect, or that the lease is gone. */
export function handleLeaseRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { lease } = state.fleet;
  const { result } = event;
  lease.isPending = false;
  if (result.kind === 'missing') {
    lease.version = 0;
    lease.isActive = false;
    return maintainLease(state, context);
  }
  if (result.kind !== 'found') return [];
  const { nonce } = result.entry.value as LeaseRecord;
  const sentAt = lease.writes.get(nonce);
  const isNew = result.entry.version !== lease.version;
  if (!isNew) return [];
  if (sentAt !== undefined) return recordWrite(state, nonce, result.entry.version, sentAt, context);
  lease.version = result.entry.version;
  lease.isActive = false;
  return [];
}

/**
 * Activates the lease once the assignment has been read after its creation.
 * @param state - The process's state.
 * @param event - The result of that read.
 * @param context - Current time and random source.
 */
export function activateLease(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const { lease, write } = state.fleet;
  const { kind } = event.result;
  lease.isPending = false;
  if (kind !== 'found' && kind !== 'missing') return [];
  lease.isActive = true;
  lease.storeExpiry = Math.max(lease.storeExpiry, lease.lastWriteAt + getDuration(state));
  updateLeaseEnd(state);
  write.notBefore = Math.max(write.notBefore, context.now + context.random() * JOIN_JITTER_MS);
  return [];
}
