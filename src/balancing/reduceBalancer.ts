import type { BalancerContext, BalancerState } from './BalancerState.js';
import { handleCrashesReported } from './crashes.js';
import type { BalancerEffect } from './effects.js';
import type { BalancerEvent } from './events.js';
import {
  handleProbeEnded,
  handleTable,
  handleTargets,
  handleVms,
  handleZonesOut,
} from './fleetHandlers.js';
import { handleForwardEnded } from './forwarding.js';
import {
  handleArrived,
  handleAttemptEnded,
  handleCallerLeft,
  handleWake,
} from './requestHandlers.js';
import { handleLimitsReported, handlePermitAnswered, handlePermitAsked } from './limitHandlers.js';
import { reclaimPermit } from './limits.js';
import { handleOutcomesReported } from './outcomes.js';
import { handleQuotaAnswered, handleQuotaAsked, handleQuotaReturned } from './quotaHandlers.js';
import { releaseHeldRequests } from './starting.js';
import { handleStatements } from './statements.js';
import { handleGuidance, handleRollouts } from './versions.js';

/** Handles the requests that were held at startup, once configuration and targets are known. */
function placeReleasedRequests(state: BalancerState, context: BalancerContext): BalancerEffect[] {
  return releaseHeldRequests(state, context).flatMap((event) =>
    handleArrived(state, event, context),
  );
}

type Handler<K extends BalancerEvent['kind']> = (
  state: BalancerState,
  event: Extract<BalancerEvent, { kind: K }>,
  context: BalancerContext,
) => BalancerEffect[];

const HANDLERS: { readonly [K in BalancerEvent['kind']]: Handler<K> } = {
  requestArrived: handleArrived,
  callerLeft: handleCallerLeft,
  probeEnded: handleProbeEnded,
  attemptEnded: handleAttemptEnded,
  forwardEnded: handleForwardEnded,
  statementsRead: handleStatements,
  wakeDue: handleWake,
  tableRead: (state, event, context) => [
    ...handleTable(state, event, context),
    ...placeReleasedRequests(state, context),
  ],
  targetsRead: (state, event, context) => [
    ...handleTargets(state, event, context),
    ...placeReleasedRequests(state, context),
  ],
  zonesOutRead: handleZonesOut,
  rolloutsRead: (state, event, context) => [
    ...handleRollouts(state, event, context),
    ...placeReleasedRequests(state, context),
  ],
  rolloutGuided: handleGuidance,
  vmsChanged: handleVms,
  limitsReported: handleLimitsReported,
  permitAsked: handlePermitAsked,
  permitAnswered: handlePermitAnswered,
  permitReturned: (state, { target }, { now }) => {
    reclaimPermit(state, target, now);
    return [];
  },
  quotaAsked: handleQuotaAsked,
  quotaAnswered: handleQuotaAnswered,
  quotaReturned: handleQuotaReturned,
  crashesReported: handleCrashesReported,
  outcomesReported: handleOutcomesReported,
  stopAsked: (state, _event, { now }) => {
    state.shutdownStartedAt ??= now;
    return [];
  },
};

/**
 * Handles one event: updates the state in place and returns the effects to carry out, in order.
 * @param state - State of this entry VM; owned by the caller and changed here.
 * @param event - The event.
 * @param context - Clock and random source.
 * @example
 * const effects = reduceBalancer(state, { kind: 'stopAsked' }, { now: clock.now(), random });
 */
export function reduceBalancer(
  state: BalancerState,
  event: BalancerEvent,
  context: BalancerContext,
): BalancerEffect[] {
  const handler = HANDLERS[event.kind] as Handler<BalancerEvent['kind']>;
  return handler(state, event, context);
}
