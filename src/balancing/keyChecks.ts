import { authenticate } from '../organisations/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import { removeRequest } from './endings.js';
import type { RequestArrived } from './events.js';
import type { PendingRequest } from './PendingRequest.js';
import { findRoute } from './routes.js';
import { shouldHold } from './starting.js';

/** What the head of a request says about who may send it where. */
export type ArrivalHead = Pick<RequestArrived, 'host' | 'path' | 'keyDigest'>;

/**
 * Whether the configuration in force refuses a request for its API key, so that its body need not be
 * read. False while no configuration is known, without a matching route, and for requests that would
 * be held: their key is checked when they are released.
 * @param state - State of this entry VM.
 * @param head - Head of the request.
 * @param now - Monotonic milliseconds.
 * @example
 * isKeyUnknown(state, { host: 'door.example', path: '/', keyDigest: undefined }, clock.now());
 */
export function isKeyUnknown(state: BalancerState, head: ArrivalHead, now: number): boolean {
  const { table, keys } = state;
  if (table === undefined || !keys.isRequired) return false;
  if (shouldHold(state, head, now)) return false;
  const route = findRoute(table, head.host, head.path);
  return route !== undefined && authenticate(keys, route, head.keyDigest).kind === 'unknown';
}

/** Whether nothing of a request has been sent to a target or is being sent to another VM. */
function isUnsent({ attempts, triedTargets, forward, hasPossiblyRun }: PendingRequest): boolean {
  return attempts.size === 0 && triedTargets.size === 0 && forward === undefined && !hasPossiblyRun;
}

function isKeyRemoved({ keys }: BalancerState, pending: PendingRequest): boolean {
  if (pending.organisation === undefined || pending.route.isAuthExempt === true) return false;
  const { keyDigest: digest } = pending;
  return keys.isRequired && (digest === undefined || keys.find(digest) === undefined);
}

function refuseRemovedKey(
  state: BalancerState,
  pending: PendingRequest,
  now: number,
): BalancerEffect[] {
  const { id: request, callerRequestId: id, route, service, organisation } = pending;
  const status = 401;
  const reason = 'unknownKey';
  const tookMs = Math.round(now - pending.arrivedAt);
  const configuration = state.table?.version;
  return [
    ...removeRequest(state, pending, now),
    { kind: 'answer', request, status, reason },
    {
      kind: 'log',
      event: 'request.refused',
      fields: {
        id,
        status,
        reason,
        route: route.name,
        service,
        organisation,
        tookMs,
        configuration,
      },
    },
  ];
}

/**
 * Refuses the requests whose API key the configuration that was just adopted has removed, unless they
 * have been sent: a 401 states that a request has not run.
 * @param state - State of this entry VM.
 * @param context - Clock and random source.
 */
export function refuseRemovedKeys(
  state: BalancerState,
  { now }: BalancerContext,
): BalancerEffect[] {
  return [...state.pendingRequests.values()]
    .filter((pending) => isUnsent(pending) && isKeyRemoved(state, pending))
    .flatMap((pending) => refuseRemovedKey(state, pending, now));
}
