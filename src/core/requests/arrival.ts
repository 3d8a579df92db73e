import { getService } from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect, ProblemCode } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import { isClosing, isConfigurationFresh } from '../fleet/index.js';
import type { EventOf } from '../Handler.js';
import { claimKey } from '../keys/index.js';
import type { ServiceConfig } from '../model/index.js';
import { addRetryTokens } from '../protection/index.js';
import { getMaxOpenRequests, getRetryAfterMs } from './capacity.js';
import { dispatch } from './dispatch.js';
import { reject } from './finish.js';
import { makeOwnAnswer } from './ownAnswers.js';
import type { RequestRecord } from './RequestsState.js';
import type { ServiceTraffic } from './ServiceTraffic.js';
import { getTraffic } from './ServiceTraffic.js';
import { recordInvitationUsed } from './invitations.js';

/** With this many requests open in a process, each active service may only have an equal share. */
const MAX_OPEN_REQUESTS = 20_000;

function createRecord(
  event: EventOf<'requestArrived'>,
  service: ServiceConfig,
  now: number,
): RequestRecord {
  return {
    id: event.request,
    arrived: event,
    service,
    deadlineAt: Math.min(event.deadlineAt ?? Number.POSITIVE_INFINITY, now + service.timeoutMs),
    isRepeatable: service.repeat.methods.includes(event.method),
    attempts: new Set(),
    stage: 'claiming',
    hasPossiblyRun: false,
    isResendBarred: false,
    triedTargets: [],
    triedPeers: [],
    lostAttempts: 0,
    isHedged: false,
    hasClaimedKey: false,
  };
}

/**
 * Whether a service has as many open requests as it may have in this process. Without this bound a
 * service whose targets hang uses up the memory and connections of the entry VM, and other services
 * fail with it.
 */
function hasUsedShare(state: EntryState, service: ServiceConfig, traffic: ServiceTraffic): boolean {
  const { slots } = service.capacity;
  if (
    traffic.openRequests >= getMaxOpenRequests(state, service.name, slots, service.queue.maxLength)
  ) {
    return true;
  }
  if (state.requests.requests.size < MAX_OPEN_REQUESTS) return false;
  let activeCount = 0;
  for (const each of state.requests.traffic.values()) if (each.openRequests > 0) activeCount += 1;
  return traffic.openRequests * activeCount >= MAX_OPEN_REQUESTS;
}

function getRejectionCode(
  state: EntryState,
  record: RequestRecord,
  traffic: ServiceTraffic,
  now: number,
): ProblemCode | undefined {
  // The address answers that name this process have expired; its exit could cut off a new request.
  if (isClosing(state, now)) return 'leaving';
  if (!isConfigurationFresh(state, now)) return 'not-fresh';
  if (now >= record.deadlineAt) return 'deadline-passed';
  return hasUsedShare(state, record.service, traffic) ? 'no-capacity' : undefined;
}

/** Handles a new request: rejects it, claims its key first, or dispatches it. */
export function handleRequestArrived(
  state: EntryState,
  event: EventOf<'requestArrived'>,
  context: Context,
): Effect[] {
  const { requests } = state;
  if (requests.requests.has(event.request)) return [];
  requests.lastEventAt = context.now;
  const service = getService(state, event.service);
  if (service === undefined) {
    const answer = makeOwnAnswer('unknown-service', 'not-run');
    return [{ kind: 'answerRequest', request: event.request, answer }];
  }
  const traffic = getTraffic(state, service.name);
  const record = createRecord(event, service, context.now);
  const code = getRejectionCode(state, record, traffic, context.now);
  requests.requests.set(record.id, record);
  traffic.openRequests += 1;
  if (event.forwardedBy !== undefined) recordInvitationUsed(traffic);
  if (code !== undefined) {
    const retryAfterMs = getRetryAfterMs(state, service.name, context.now, context.random());
    return reject(state, record, code, code === 'deadline-passed' ? undefined : retryAfterMs);
  }
  addRetryTokens(state, service);
  if (!record.isRepeatable && state.guards.claimBeforeSend(event)) {
    return claimKey(state, event, context);
  }
  return dispatch(state, record, context);
}
