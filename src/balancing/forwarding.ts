import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect, LocalAnswerReason } from './effects.js';
import { answerLocally, refuseOrFail, removeForward, removeRequest } from './endings.js';
import type { ForwardEnded, ForwardResult } from './events.js';
import { addEvidence } from './evidence.js';
import type { PendingRequest } from './PendingRequest.js';
import { returnQuotaPermit } from './quotaPermits.js';
import { isRepeatable } from './routes.js';
import { probeForRecovery } from './reachability.js';

/** Maximum number of VMs that one request is passed on to; all but the last refused it. */
const MAX_HELPERS = 6;

/**
 * How long a request looks for a helper, in milliseconds. VMs that take no connection cost a timeout
 * each; a VM that is cut off from all others must not hold its callers for many of these.
 */
const MAX_SEARCH_MS = 600;

/** Requests of other VMs that this one serves at the same time; the memory of a VM is small. */
const MAX_HELPED_REQUESTS = 64;

/** Minimum time that a helper is given, in milliseconds. */
const MIN_ALLOWED_MS = 20;

/** Reasons of a helper that has not sent the request, and that hold for other requests as well. */
const EXCLUDING_REASONS: ReadonlySet<string> = new Set([
  'noTarget',
  'notConfigured',
  'noRoute',
  'stopping',
] satisfies LocalAnswerReason[]);

/** Reasons of a helper that this VM gives the caller as well. */
const REPEATED_REASONS: readonly LocalAnswerReason[] = [
  'overQuota',
  'limited',
  'paused',
  'crashesTargets',
  'unknownKey',
  'rejected',
  'rejectedWithRoom',
];

/** Whether this VM serves as many requests of other VMs as it can. */
export function isHelpingAtLimit({ pendingRequests }: BalancerState): boolean {
  let helped = 0;
  for (const { isForwarded } of pendingRequests.values()) if (isForwarded) helped += 1;
  return helped > MAX_HELPED_REQUESTS;
}

/** Whether a request may be passed on, by what it has been sent to already. */
export function isForwardable({ table }: BalancerState, pending: PendingRequest): boolean {
  if (pending.isForwarded || pending.forward !== undefined) return false;
  if (pending.attempts.size === 0 && !pending.hasPossiblyRun) return true;
  return isRepeatable(table, pending) && pending.triedTargets.size < pending.maxTargets;
}

function getOtherVms({ liveVms, settings }: BalancerState): readonly string[] {
  return liveVms.filter((vm) => vm !== settings.vm);
}

/**
 * Whether there is a VM that a request may be passed on to.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param now - Monotonic milliseconds.
 */
export function hasHelper(
  state: BalancerState,
  { helpersTried }: PendingRequest,
  now: number,
): boolean {
  if (helpersTried.size >= MAX_HELPERS) return false;
  return state.helpers.getOpen(getOtherVms(state), helpersTried, now).length > 0;
}

/**
 * Passes a request on to a VM that may reach its targets, and refuses it if there is none.
 *
 * The helper decides as if the request were its own. It does not pass it on in turn, so that requests
 * do not travel in circles while no VM reaches the targets.
 * @param state - State of this entry VM.
 * @param pending - The request; it must be forwardable unless no attempt is open.
 * @param context - Clock and random source.
 */
export function forwardRequest(
  state: BalancerState,
  pending: PendingRequest,
  context: BalancerContext,
): BalancerEffect[] {
  const { now, random } = context;
  const { service, helpersTried } = pending;
  const probes = probeForRecovery(state, service, context);
  const isInTime = now - (pending.searchStartedAt ?? now) <= MAX_SEARCH_MS;
  const canAsk = isForwardable(state, pending) && helpersTried.size < MAX_HELPERS && isInTime;
  const hasTime = pending.deadlineAt - now >= MIN_ALLOWED_MS;
  const vm =
    canAsk && hasTime
      ? state.helpers.choose(getOtherVms(state), helpersTried, now, random)
      : undefined;
  if (vm === undefined) {
    if (pending.attempts.size > 0) return probes;
    return [...probes, ...refuseOrFail(state, pending, 'noTarget', context)];
  }
  pending.searchStartedAt ??= now;
  helpersTried.add(vm);
  state.helpers.recordSent(vm);
  state.lastAttemptId += 1;
  const attempt = state.lastAttemptId;
  pending.forward = { id: attempt, vm, sentAt: now };
  state.forwards.set(attempt, pending);
  // The helper applies the route's timeout itself; this VM keeps its own deadline.
  const allowedMs = Math.max(1, Math.floor(pending.callerTimeoutAt - now));
  const terms = {
    maxTargets: Math.max(1, pending.maxTargets - pending.triedTargets.size),
    sinceFirstMs: Math.round(pending.sinceFirstMs + now - pending.arrivedAt),
    service,
  };
  const { id: request, callerRequestId: id } = pending;
  return [
    ...probes,
    // The helper asks for a permit of its own.
    ...returnQuotaPermit(state, pending, now),
    { kind: 'forwardRequest', request, attempt, vm, allowedMs, terms },
    {
      kind: 'log',
      event: 'request.forwarded',
      fields: { id, attempt, via: vm, allowedMs, ...terms, helpers: helpersTried.size },
    },
    { kind: 'wake', request, at: pending.deadlineAt },
  ];
}

/** Whether a helper has certainly not sent a request to a target. */
function isCertainlyUnsent(end: ForwardResult): boolean {
  if (end.kind === 'refused') return EXCLUDING_REASONS.has(end.reason ?? '');
  return end.kind === 'unsent';
}

/** Records why a helper has not run a request. */
function recordEvidence(
  pending: PendingRequest,
  { attempt, end, facts }: Omit<ForwardEnded, 'kind'>,
  via: string,
  tookMs: number,
): void {
  const kind = end.kind === 'unsent' ? 'unsent' : 'refusedByVm';
  const reason = 'reason' in end ? end.reason : undefined;
  addEvidence(pending, { kind, attempt, via, reason, tookMs, facts });
}

/** Delivers a helper's answer, asks another one, or answers the request locally. */
export function handleForwardEnded(
  state: BalancerState,
  { attempt, end, facts }: ForwardEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const pending = state.forwards.get(attempt);
  if (pending?.forward === undefined) return [];
  const { now } = context;
  const { vm, sentAt } = pending.forward;
  removeForward(state, pending);
  const { id: request, callerRequestId: id, route, arrivedAt } = pending;
  if (end.kind === 'answered') {
    state.helpers.recordHelp(vm, now);
    return [
      { kind: 'deliver', request, attempt, deadlineAt: pending.deadlineAt },
      ...removeRequest(state, pending, now),
      {
        kind: 'log',
        event: 'request.answered',
        fields: {
          id,
          status: end.status,
          route: route.name,
          via: vm,
          tookMs: Math.round(now - arrivedAt),
          objectiveMs: route.objectiveMs,
          sinceFirstMs: pending.sinceFirstMs,
          targetMs: Math.round(now - sentAt),
          ...(pending.organisation === undefined ? {} : { organisation: pending.organisation }),
        },
      },
    ];
  }
  const reason = 'reason' in end ? end.reason : undefined;
  const hasSentNothing = isCertainlyUnsent(end);
  // The helper has used the retry that was taken for this attempt.
  if (!hasSentNothing) pending.hasUnsentRetry = false;
  const fields = { id, attempt, via: vm, end: end.kind, reason, tookMs: Math.round(now - sentAt) };
  const line: BalancerEffect = { kind: 'log', event: 'forward.failed', fields };
  const hasOpenAttempt = pending.attempts.size > 0;
  if (end.kind === 'broken' || end.kind === 'failed') {
    // It may have run: its answer may have been lost between the VMs as well.
    pending.hasPossiblyRun = true;
    // It may also have used all targets that the request may be sent to.
    pending.maxTargets = pending.triedTargets.size;
    if (hasOpenAttempt) return [line];
    const own = reason === 'timedOut' ? 'timedOut' : 'targetFailed';
    return [line, ...answerLocally(state, pending, own, context)];
  }
  recordEvidence(pending, { attempt, end, facts }, vm, fields.tookMs);
  if (!hasSentNothing) {
    state.helpers.recordHelp(vm, now);
    if (hasOpenAttempt) return [line];
    const own = REPEATED_REASONS.find((each) => each === reason) ?? 'overloaded';
    return [line, ...refuseOrFail(state, pending, own, context)];
  }
  state.helpers.exclude(vm, now);
  return [line, ...forwardRequest(state, pending, context)];
}
