import { getLateAt } from './admission.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect, OwnReason } from './effects.js';
import type { Journey, Sending } from './Journey.js';
import { getOpenAt, returnPermits } from './limits.js';

/**
 * A refused caller comes back after this part of what is left to it, at the least and at the most:
 * spread, so that those who were refused together don't come back together. Callers wait no longer
 * than a third; after less than `FIRST_TIMES_SPREAD` they would be taken for callers that ask first.
 */
const RETRY_LEAST_SHARE = 0.2;
const RETRY_MOST_SHARE = 0.33;

/**
 * When a caller may come back whose request a target with free slots has rejected, at the least and
 * at the most, in milliseconds. Some targets reject a part of what they get whatever their load is:
 * waiting makes no room where there is some, and a rejection takes no longer than the way there and
 * back. Told to come back after a fifth of its time the caller is late for certain. Spread, so that
 * callers who were rejected together don't come back together.
 */
const SOON_LEAST_MS = 5;
const SOON_MOST_MS = 30;

const STATUS_BY_REASON: Readonly<Record<OwnReason, number>> = {
  notConfigured: 503,
  noRoute: 404,
  stopping: 503,
  noTarget: 503,
  limited: 503,
  overloaded: 503,
  rejected: 503,
  rejectedWithRoom: 503,
  targetFailed: 502,
  timedOut: 504,
};

/** Reasons that a request which has not run is refused for, so that its caller may come back. */
const REFUSALS: ReadonlySet<OwnReason> = new Set([
  'notConfigured',
  'stopping',
  'noTarget',
  'limited',
  'overloaded',
  'rejected',
  'rejectedWithRoom',
]);

/**
 * Forgets a sending.
 * @param state - What is known.
 * @param sending - The sending.
 */
export function forgetSending(state: BalancerState, sending: Sending): void {
  state.sendings.delete(sending.attempt);
  state.journeys.get(sending.request)?.sendings.delete(sending);
  sending.target.outstanding -= 1;
}

/**
 * Breaks off all that is still out for a request.
 * @param state - What is known.
 * @param journey - The request.
 */
export function cancelSendings(state: BalancerState, journey: Journey): BalancerEffect[] {
  return [...journey.sendings].map((sending) => {
    forgetSending(state, sending);
    return { kind: 'cancelAttempt', attempt: sending.attempt };
  });
}

/**
 * When a refused caller may come back.
 * @param leftMs - Time that is left to it, in milliseconds.
 * @param chance - Uniform in [0, 1).
 */
export function getRetryAfterMs(leftMs: number, chance: number): number {
  const share = RETRY_LEAST_SHARE + (RETRY_MOST_SHARE - RETRY_LEAST_SHARE) * chance;
  return Math.round(Math.max(0, leftMs) * share);
}

/** When the caller of a request that is refused now may come back, in milliseconds. */
function getReturnMs(
  state: BalancerState,
  journey: Journey,
  reason: OwnReason,
  { now, random }: BalancerContext,
): number {
  const soonMs = SOON_LEAST_MS + (SOON_MOST_MS - SOON_LEAST_MS) * random();
  const isInTime = now + soonMs < getLateAt(journey, state.work.get(journey.route));
  if (reason === 'rejectedWithRoom' && isInTime) return Math.round(soonMs);
  const usualMs = getRetryAfterMs(journey.callerLeavesAt - now, random());
  if (reason !== 'limited') return usualMs;
  return Math.max(usualMs, Math.ceil(getOpenAt(state, journey.service, now) - now));
}

/**
 * Ends a request's round of probes; later answers to them are of use to others.
 * @param state - What is known.
 * @param journey - The request.
 * @param now - Monotonic milliseconds.
 */
export function endRound(state: BalancerState, journey: Journey, now: number): BalancerEffect[] {
  const { round } = journey;
  if (round === undefined) return [];
  for (const id of round.waitingFor) state.targets.get(id)?.probeWaiters.delete(journey.request);
  journey.round = undefined;
  return returnPermits(state, round.permitsAsked, now);
}

/**
 * Answers a request in this entry VM's own name and forgets it.
 * @param state - What is known.
 * @param journey - The request.
 * @param reason - Why.
 * @param context - Time and chance.
 */
export function answerOwn(
  state: BalancerState,
  journey: Journey,
  reason: OwnReason,
  context: BalancerContext,
): BalancerEffect[] {
  const given = endRound(state, journey, context.now);
  const cancelled = cancelSendings(state, journey);
  state.journeys.delete(journey.request);
  const isRefusal = REFUSALS.has(reason);
  const retryAfterMs = isRefusal ? getReturnMs(state, journey, reason, context) : undefined;
  const { request } = journey;
  const status = STATUS_BY_REASON[reason];
  return [
    ...given,
    ...cancelled,
    { kind: 'answer', request, status, reason, retryAfterMs },
    {
      kind: 'log',
      event: isRefusal ? 'request.refused' : 'request.failed',
      fields: {
        id: journey.callerRequestId,
        status,
        reason,
        route: journey.route.name,
        service: journey.service,
        tookMs: Math.round(context.now - journey.arrivedAt),
        objectiveMs: journey.route.objectiveMs,
        sinceFirstMs: journey.sinceFirstMs,
        rounds: journey.rounds,
        configuration: state.table?.version,
        tried: [...journey.tried],
        retryAfterMs,
      },
    },
  ];
}

/**
 * Ends a request that finds no target: refused if it has certainly not run, else failed.
 * @param state - What is known.
 * @param journey - The request.
 * @param reason - Why it is refused if it has not run.
 * @param context - Time and chance.
 */
export function answerRefused(
  state: BalancerState,
  journey: Journey,
  reason: OwnReason,
  context: BalancerContext,
): BalancerEffect[] {
  return answerOwn(state, journey, journey.mayHaveRun ? 'targetFailed' : reason, context);
}

/**
 * Forgets a request whose caller has its answer or has left.
 * @param state - What is known.
 * @param journey - The request.
 * @param now - Monotonic milliseconds.
 */
export function endJourney(state: BalancerState, journey: Journey, now: number): BalancerEffect[] {
  const given = endRound(state, journey, now);
  state.journeys.delete(journey.request);
  return [...given, ...cancelSendings(state, journey)];
}
