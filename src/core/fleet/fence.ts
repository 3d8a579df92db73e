import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { EntryVmId, LeaseRecord, StoreOp } from '../model/index.js';
import { enqueueStoreCall } from '../storeCalls/index.js';
import type { Fence } from './FleetState.js';
import { getLeaseDuration, getRenewPeriod, SUSPECT_AFTER_MS } from './periods.js';

/** Minimum time between two reads of the same lease, in milliseconds. */
const LEASE_READ_INTERVAL_MS = 300;

/** A process that can renew its lease does so within this many renewal periods. */
const MAX_RENEWAL_PERIODS = 1.3;

/**
 * Returns the store key of a process's lease object.
 * @param id - The process.
 */
export function getLeaseKey(id: EntryVmId): string {
  return `fleet/members/${id}`;
}

/** Longest duration of a lease renewed now, under any epoch that some process may act under. */
export function getMaxLeaseDuration(state: EntryState): number {
  const { assignment } = state.fleet;
  const sizes = [assignment, ...assignment.earlier].map(({ members }) => members.length);
  return getLeaseDuration(state.settings, Math.max(...sizes));
}

function getFence(state: EntryState, id: EntryVmId): Fence {
  const existing = state.fleet.fences.get(id);
  if (existing !== undefined) return existing;
  const never = Number.NEGATIVE_INFINITY;
  const fence: Fence = {
    isPending: false,
    epochAtCall: 0,
    observedSince: never,
    writtenBefore: never,
    lastReadAt: never,
    lastAnsweredReadAt: never,
    fencedEpoch: 0,
  };
  state.fleet.fences.set(id, fence);
  return fence;
}

function callLeaseObject(
  state: EntryState,
  id: EntryVmId,
  op: StoreOp & { op: 'get' | 'delete' },
  context: Context,
): Effect[] {
  const fence = getFence(state, id);
  fence.isPending = true;
  fence.epochAtCall = state.fleet.assignment.epoch;
  const purpose = op.op === 'get' ? 'memberRead' : 'memberDelete';
  return enqueueStoreCall(state, { storeClass: 'lease', purpose, tag: id, op }, context);
}

/**
 * Reads a member's lease, which shows whether it is still renewed and which epoch is applied there.
 * @param state - The process's state.
 * @param id - The member.
 * @param context - Current time and random source.
 */
export function readMemberLease(state: EntryState, id: EntryVmId, context: Context): Effect[] {
  const fence = getFence(state, id);
  if (fence.isPending || context.now - fence.lastReadAt < LEASE_READ_INTERVAL_MS) return [];
  fence.lastReadAt = context.now;
  return callLeaseObject(state, id, { op: 'get', key: getLeaseKey(id) }, context);
}

/**
 * Deletes the lease object of a former member from the store, so that it can't renew its lease
 * without reading the assignment again. The deletion is conditional on the version, which every
 * renewal changes. If it succeeds with the version from the member's last heartbeat, the member has
 * not renewed its lease since, and the lease ends at the time given there. The wait for the lease
 * of a dead VM thus starts at its last renewal, not when the failure was detected.
 * @param state - The process's state; its assignment no longer names the member.
 * @param id - The former member.
 * @param context - Current time and random source.
 */
export function deleteMemberLease(state: EntryState, id: EntryVmId, context: Context): Effect[] {
  const fence = getFence(state, id);
  if (fence.isPending) return [];
  const announcedVersion = state.fleet.peers.get(id)?.leaseVersion ?? 0;
  const expect = Math.max(announcedVersion, fence.observedVersion ?? 0);
  if (expect === 0) return readMemberLease(state, id, context);
  return callLeaseObject(state, id, { op: 'delete', key: getLeaseKey(id), expect }, context);
}

/**
 * Whether a silent member may still be alive: its lease was renewed recently, or may have been
 * since the last read. If only the network between two entry VMs fails, both are alive.
 * @param state - The process's state.
 * @param id - The member.
 * @param now - Monotonic milliseconds.
 */
export function isPossiblyRenewed(state: EntryState, id: EntryVmId, now: number): boolean {
  const fence = state.fleet.fences.get(id);
  if (fence?.observedVersion === undefined) return true;
  const peer = state.fleet.peers.get(id);
  const members = state.fleet.assignment.members.length;
  const maxRenewalGap = getRenewPeriod(state.settings, members) * MAX_RENEWAL_PERIODS;
  const isAnnounced = peer !== undefined && peer.leaseVersion === fence.observedVersion;
  const unchangedSince = isAnnounced ? peer.lastHeardAt : fence.observedSince;
  const unchangedUntil = fence.lastAnsweredReadAt;
  const requiredMs = Math.max(SUSPECT_AFTER_MS, maxRenewalGap);
  return unchangedUntil - unchangedSince < requiredMs || now - unchangedUntil > requiredMs;
}

function recordLeaseGone(fence: Fence, leaseEndsBy: number): void {
  fence.observedVersion = 0;
  fence.observedSince = Number.NEGATIVE_INFINITY;
  fence.leaseEndsBy = leaseEndsBy;
  fence.fencedEpoch = fence.epochAtCall;
}

function recordLeaseVersion(fence: Fence, version: number, sentAt: number, now: number): void {
  if (version === fence.observedVersion) return;
  fence.observedVersion = version;
  fence.observedSince = sentAt;
  fence.writtenBefore = now;
  fence.leaseEndsBy = undefined;
}

function handleLeaseDeletion(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  fence: Fence,
  context: Context,
): Effect[] {
  const { result, op, tag } = event;
  if (state.guards.readBackAfterUnknown(result)) {
    const { epochAtCall } = fence;
    const effects = callLeaseObject(state, tag, { op: 'get', key: getLeaseKey(tag) }, context);
    fence.epochAtCall = epochAtCall;
    return effects;
  }
  const latestEnd = context.now + getMaxLeaseDuration(state);
  const peer = state.fleet.peers.get(tag);
  if (result.kind === 'written' && op.op === 'delete') {
    const isAnnounced = peer?.leaseVersion === op.expect;
    // The deleted version was written before it was first read.
    const isObserved = fence.observedVersion === op.expect;
    const endByObservation = isObserved
      ? fence.writtenBefore + getMaxLeaseDuration(state)
      : latestEnd;
    recordLeaseGone(
      fence,
      Math.min(latestEnd, endByObservation, isAnnounced ? peer.leaseEndsBy : latestEnd),
    );
  } else if (result.kind === 'conflict') {
    if (result.version === 0) recordLeaseGone(fence, latestEnd);
    else recordLeaseVersion(fence, result.version, context.now, context.now);
  }
  return [];
}

function handleMemberLeaseRead(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  fence: Fence,
  now: number,
): void {
  const { result, sentAt, tag } = event;
  if (result.kind === 'missing') {
    if (fence.leaseEndsBy === undefined || fence.fencedEpoch < fence.epochAtCall) {
      recordLeaseGone(fence, now + getMaxLeaseDuration(state));
    }
    fence.lastAnsweredReadAt = sentAt;
    return;
  }
  if (result.kind !== 'found') return;
  recordLeaseVersion(fence, result.entry.version, sentAt, now);
  fence.lastAnsweredReadAt = sentAt;
  const peer = state.fleet.peers.get(tag);
  const record = result.entry.value as LeaseRecord;
  if (peer !== undefined) peer.appliedEpoch = Math.max(peer.appliedEpoch, record.appliedEpoch);
}

/** Handles the results of store calls about another member's lease. */
export function handleMemberLeaseResolved(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  const fence = getFence(state, event.tag);
  fence.isPending = false;
  if (event.purpose === 'memberDelete') return handleLeaseDeletion(state, event, fence, context);
  handleMemberLeaseRead(state, event, fence, context.now);
  return [];
}
