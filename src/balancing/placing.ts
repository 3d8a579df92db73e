import type { ServiceName } from '../core/model/index.js';
import { isHopeless } from './admission.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { Candidate } from './candidates.js';
import { findBest, getUsable } from './candidates.js';
import type { BalancerEffect } from './effects.js';
import { answerRefused, endRound } from './endings.js';
import type { Journey, ProbeRound, Sending } from './Journey.js';
import { isExhausted, usePermit } from './limits.js';
import { startRound, toDestination } from './probing.js';
import {
  HEDGE_AFTER,
  HEDGE_GAIN,
  HEDGE_MIN_MS,
  PROBE_ROUND_MS,
  PROBE_TIMEOUT_MS,
  PREFERRED_ROUNDS,
  READING_USABLE_MS,
  ROUND_PAUSE_MS,
} from './settings.js';
import { getScores } from './TargetRecord.js';
import { leaveTrial } from './versions.js';

/** Least time between two looks where nothing was asked, in milliseconds. */
const LEAST_PAUSE_MS = 5;

/** Least time that a target is given, in milliseconds; with less the answer can't come back. */
const LEAST_ALLOWED_MS = 10;

/**
 * When a request has to be looked at again if nothing happens before.
 * @param journey - The request.
 */
export function getNextWake(journey: Journey): number {
  let at = journey.deadlineAt;
  for (const { overdueAt, isOverdue } of journey.sendings) {
    if (!isOverdue) at = Math.min(at, overdueAt);
  }
  return at;
}

/** Sends a request to a target. */
function send(
  state: BalancerState,
  journey: Journey,
  { record, expected }: Candidate,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const limitPerSecond = usePermit(state, record, now);
  const given = endRound(state, journey, now);
  const { id, service } = record.entry;
  const isCold = record.coldUntil > now;
  if (isCold) state.cold.take(id, state.services.get(service)?.coldRequestsPerSecond ?? 0, now);
  state.lastAttempt += 1;
  const overdueMs = Math.max(HEDGE_MIN_MS, expected.readMs * HEDGE_AFTER);
  const sending: Sending = {
    attempt: state.lastAttempt,
    request: journey.request,
    target: record,
    sentAt: now,
    expectedMs: expected.readMs,
    workMs: state.work.get(journey.route),
    basis: expected.basis,
    overdueAt: now + overdueMs,
    isOverdue: false,
  };
  state.sendings.set(sending.attempt, sending);
  journey.sendings.add(sending);
  journey.tried.add(id);
  journey.isRepeatPaid = false;
  record.outstanding += 1;
  record.sentSinceReading += 1;
  const { reading } = record;
  return [
    ...given,
    {
      kind: 'sendAttempt',
      request: journey.request,
      attempt: sending.attempt,
      to: toDestination(record),
      allowedMs: Math.max(1, Math.floor(journey.deadlineAt - now)),
    },
    {
      kind: 'log',
      event: 'request.sent',
      fields: {
        id: journey.callerRequestId,
        attempt: sending.attempt,
        target: id,
        expectedMs: Math.round(expected.readMs),
        costMs: Math.round(expected.costMs),
        running: reading?.running,
        waiting: reading?.waiting,
        slowdown: reading?.slowdown,
        readingAgeMs: reading === undefined ? undefined : Math.round(now - reading.at),
        isCold,
        limitPerSecond,
        allowedMs: Math.round(journey.deadlineAt - now),
        sinceFirstMs: journey.sinceFirstMs,
        failures: Number(getScores(record, now).failures.toFixed(2)),
      },
    },
    { kind: 'wake', request: journey.request, at: getNextWake(journey) },
  ];
}

/** No target answered in time: one that was sound a moment ago is better than none. */
function chooseBlindly(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
): Candidate | undefined {
  const isAnswered = getUsable(state, journey, context.now).some(
    ({ reading }) => reading !== undefined && context.now - reading.at < PROBE_TIMEOUT_MS,
  );
  // Targets that answer probes and are full would only be buried by what is sent blindly.
  if (isAnswered) return undefined;
  return findBest(state, journey, context, READING_USABLE_MS);
}

function isRoundOver(round: ProbeRound | undefined, now: number): boolean {
  if (round === undefined || round.waitingFor.size === 0) return true;
  return now >= round.startedAt + PROBE_ROUND_MS;
}

function chooseNow(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
  isRoundEnded: boolean,
): Candidate | undefined {
  const best = findBest(state, journey, context);
  if (best?.isGood === true) return best;
  // What the first few targets have is taken only if it could not be better.
  if (journey.rounds < 2 && journey.sendings.size === 0) return undefined;
  return isRoundEnded ? (best ?? chooseBlindly(state, journey, context)) : undefined;
}

/** A second sending has to bring the answer sooner than the first may still do. */
function isWorthSending(journey: Journey, best: Candidate, now: number): boolean {
  if (journey.deadlineAt - now < LEAST_ALLOWED_MS) return false;
  const [first] = journey.sendings;
  if (first === undefined) return true;
  const leftMs = Math.max(now - first.sentAt, first.expectedMs) * HEDGE_GAIN;
  return best.expected.place === 'free' && best.expected.costMs < leftMs;
}

/** Whether a target that is left alone now may be back before the request's time is over. */
function hasHope(state: BalancerState, journey: Journey, now: number): boolean {
  return (state.byService.get(journey.service) ?? []).some(
    (record) =>
      !record.entry.isDraining &&
      !state.zonesOut.has(record.entry.zone) &&
      !journey.tried.has(record.entry.id) &&
      record.deadUntil < journey.deadlineAt &&
      !isExhausted(state, record, now),
  );
}

/** Whether it is limits that keep a request from some of the targets that are up. */
function isLimited(state: BalancerState, { service, tried }: Journey, now: number): boolean {
  return (state.byService.get(service) ?? []).some(
    (record) =>
      record.deadUntil <= now && !tried.has(record.entry.id) && isExhausted(state, record, now),
  );
}

/** Time until the next look for a target, in milliseconds; the second follows the first at once. */
function getPause({ rounds }: Journey): number {
  return rounds < PREFERRED_ROUNDS ? 0 : ROUND_PAUSE_MS;
}

/** Places a request by what is known without a further probe, or has it look again later. */
function placeKnown(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const best = chooseNow(state, journey, context, true);
  if (best !== undefined && isWorthSending(journey, best, now)) {
    return send(state, journey, best, context);
  }
  const given = endRound(state, journey, now);
  if (journey.sendings.size > 0) {
    return [...given, { kind: 'wake', request: journey.request, at: getNextWake(journey) }];
  }
  journey.nextRoundAt = now + Math.max(LEAST_PAUSE_MS, getPause(journey));
  return [...given, { kind: 'wake', request: journey.request, at: journey.nextRoundAt }];
}

function lookAgain(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
): BalancerEffect[] {
  // A trial must not keep callers waiting.
  if (journey.rounds >= PREFERRED_ROUNDS) leaveTrial(state, journey, context.now);
  const usable = getUsable(state, journey, context.now);
  if (journey.sendings.size > 0 && usable.length === 0) return [];
  const hopeless = usable.length === 0 && !hasHope(state, journey, context.now);
  const isAtTarget = journey.sendings.size > 0;
  if (
    !isAtTarget &&
    (hopeless || isHopeless(journey, usable, state.work.get(journey.route), context.now))
  ) {
    const reason = isLimited(state, journey, context.now) ? 'limited' : 'noTarget';
    return answerRefused(state, journey, hopeless ? reason : 'overloaded', context);
  }
  const effects = startRound(state, journey, usable, context);
  // All that would be asked was asked a moment ago, for this request or another.
  const isKnown = journey.round?.waitingFor.size === 0;
  return isKnown ? [...effects, ...placeKnown(state, journey, context)] : effects;
}

/**
 * Places requests that wait for room when a target has told its load, with an answer or a probe's.
 *
 * Under a burst probes are used up, and each request looks for itself every 25 ms: a slot that an
 * answer has just freed stays idle until somebody happens to look. The answer says for nothing that
 * there is room. The newest goes first: all wait for the same slots, and it has the best chance to be
 * answered in time; the others would take its place and be late all the same.
 * @param state - What is known.
 * @param service - Whose target has told its load.
 * @param context - Time and chance.
 */
export function placeWaiting(
  state: BalancerState,
  service: ServiceName,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const waiting = [...state.journeys.values()].filter(
    (journey) =>
      journey.service === service &&
      journey.sendings.size === 0 &&
      journey.rounds >= PREFERRED_ROUNDS &&
      // Probes that are out may tell of a better one in a moment.
      journey.round === undefined &&
      now < journey.deadlineAt,
  );
  waiting.sort((a, b) => b.dueAt - a.dueAt);
  return waiting.flatMap((journey) => {
    const best = findBest(state, journey, context);
    if (best === undefined || !isWorthSending(journey, best, now)) return [];
    return send(state, journey, best, context);
  });
}

/**
 * Looks for a target for a request that is at none, or for its second sending.
 * @param state - What is known.
 * @param journey - The request.
 * @param context - Time and chance.
 */
export function place(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { round } = journey;
  const isAsked = round !== undefined;
  const isOver = isRoundOver(round, now);
  const best = chooseNow(state, journey, context, isAsked && isOver);
  if (best !== undefined && isWorthSending(journey, best, now)) {
    return send(state, journey, best, context);
  }
  if (!isOver) return [];
  const given = endRound(state, journey, now);
  if (isAsked) {
    if (journey.sendings.size > 0) {
      return [...given, { kind: 'wake', request: journey.request, at: getNextWake(journey) }];
    }
    journey.nextRoundAt = now + getPause(journey);
  }
  if (now < journey.nextRoundAt) {
    return [...given, { kind: 'wake', request: journey.request, at: journey.nextRoundAt }];
  }
  return [...given, ...lookAgain(state, journey, context)];
}
