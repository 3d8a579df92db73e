import type { ServiceName } from '../core/model/index.js';
import { hashText } from '../core/hash.js';
import { combinePriorities } from '../admission/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { RequestArrived } from './events.js';
import type { Organisation, Route } from './model.js';
import type { PendingRequest } from './PendingRequest.js';
import { pickService } from './routes.js';
import { drawTrack } from './versions.js';

/** Radix of the hash that is appended to a fingerprint. */
const HASH_RADIX = 36;

/** The service that the VM which passed a request on has chosen, if its route has it here too. */
function getForwardedService({ forwarded }: RequestArrived, route: Route): ServiceName | undefined {
  return route.services.find(({ service }) => service === forwarded?.service)?.service;
}

/** Returns the time between the caller's first try and this arrival, in milliseconds. */
function getSinceFirstMs(
  { callerTimes }: BalancerState,
  { allowedMs, forwarded }: RequestArrived,
  { name }: Route,
): number {
  if (forwarded?.sinceFirstMs !== undefined) return forwarded.sinceFirstMs;
  return allowedMs === undefined ? 0 : callerTimes.recordTimeout(name, allowedMs);
}

/** Targets are told the organisation, and may treat the same message differently for another one. */
function getFingerprint({ fingerprint }: RequestArrived, organisation?: Organisation): string {
  if (organisation === undefined) return fingerprint;
  return `${fingerprint}${hashText(organisation.name).toString(HASH_RADIX)}`;
}

/**
 * Creates the state of a request that has arrived.
 * @param state - State of this entry VM.
 * @param event - The request.
 * @param route - Its route.
 * @param context - Clock and random source.
 * @param organisation - Its caller's organisation, if any.
 */
export function createPendingRequest(
  state: BalancerState,
  event: RequestArrived,
  route: Route,
  context: BalancerContext,
  organisation?: Organisation,
): PendingRequest {
  const allowedMs = Math.min(event.allowedMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
  const sinceFirstMs = getSinceFirstMs(state, event, route);
  const service =
    getForwardedService(event, route) ?? pickService(route.services, context.random());
  return {
    id: event.request,
    callerRequestId: event.callerRequestId,
    fingerprint: getFingerprint(event, organisation),
    host: event.host,
    path: event.path,
    route,
    service,
    organisation: organisation?.name,
    keyDigest: event.keyDigest,
    priority: organisation?.priority ?? route.priority,
    urgency: combinePriorities(organisation?.priority, route.priority),
    quota: organisation?.quota === undefined ? 'unlimited' : 'unasked',
    quotaPermit: undefined,
    track: drawTrack(state, service, route.name, context),
    arrivedAt: event.arrivedAt,
    sinceFirstMs,
    dueAt: event.arrivedAt + route.objectiveMs - sinceFirstMs,
    deadlineAt: event.arrivedAt + allowedMs,
    callerTimeoutAt: event.arrivedAt + (event.allowedMs ?? route.timeoutMs),
    maxTargets: Math.min(route.maxTargets, event.forwarded?.maxTargets ?? route.maxTargets),
    isForwarded: event.forwarded !== undefined,
    forward: undefined,
    searchStartedAt: undefined,
    helpersTried: new Set(),
    round: undefined,
    roundCount: 0,
    nextRoundAt: 0,
    attempts: new Set(),
    triedTargets: new Set(),
    hasPossiblyRun: false,
    evidence: [],
    evidenceCount: 0,
    hasUnsentRetry: false,
  };
}
