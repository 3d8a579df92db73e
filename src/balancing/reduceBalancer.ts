import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { BalancerEvent } from './events.js';
import {
  handleProbeEnded,
  handleTable,
  handleTargets,
  handleVms,
  handleZonesOut,
} from './fleetHandlers.js';
import {
  handleArrived,
  handleAttemptEnded,
  handleCallerLeft,
  handleWake,
} from './requestHandlers.js';
import { handleLimitsReported, handlePermitAnswered, handlePermitAsked } from './limitHandlers.js';
import { takePermitBack } from './limits.js';
import { takeEarly } from './starting.js';
import { handleGuidance, handleRollouts } from './versions.js';

/** Serves requests that waited for the start, once what they need is known. */
function serveEarly(state: BalancerState, context: BalancerContext): BalancerEffect[] {
  return takeEarly(state, context).flatMap((event) => handleArrived(state, event, context));
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
  wakeDue: handleWake,
  tableRead: (state, event, context) => [
    ...handleTable(state, event),
    ...serveEarly(state, context),
  ],
  targetsRead: (state, event, context) => [
    ...handleTargets(state, event, context),
    ...serveEarly(state, context),
  ],
  zonesOutRead: handleZonesOut,
  rolloutsRead: (state, event, context) => [
    ...handleRollouts(state, event, context),
    ...serveEarly(state, context),
  ],
  rolloutGuided: handleGuidance,
  vmsChanged: handleVms,
  limitsReported: handleLimitsReported,
  permitAsked: handlePermitAsked,
  permitAnswered: handlePermitAnswered,
  permitReturned: (state, { target }, { now }) => {
    takePermitBack(state, target, now);
    return [];
  },
  stopAsked: (state, _event, { now }) => {
    state.stopAskedAt ??= now;
    return [];
  },
};

/**
 * Takes one event, updates the state in place and gives what the process is to do, in order.
 * @param state - What this entry VM knows; owned by the caller and changed here.
 * @param event - What happened.
 * @param context - Time and chance.
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
