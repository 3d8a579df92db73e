import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import { answerOwn, answerRefused, endJourney, forgetSending } from './endings.js';
import type { AttemptEnd, AttemptEnded, CallerLeft, RequestArrived, WakeDue } from './events.js';
import type { Journey, Sending } from './Journey.js';
import { learn } from './learning.js';
import { getNextWake, place, placeWaiting } from './placing.js';
import { findRoute, pickService } from './routes.js';
import { isStarting, keepEarly } from './starting.js';
import { FIRST_FAILURE, HEDGE_BUDGET_SHARE, STOP_TAKES_MS } from './settings.js';
import { noteOutcome, noteSlowness } from './TargetRecord.js';
import { drawLane, leaveTrial, noteVersionAnswer } from './versions.js';

function answerAtOnce(
  event: RequestArrived,
  status: number,
  reason: 'notConfigured' | 'noRoute' | 'stopping',
  retryAfterMs?: number,
): BalancerEffect[] {
  const { request, callerRequestId: id, host, path } = event;
  return [
    { kind: 'answer', request, status, reason, retryAfterMs },
    {
      kind: 'log',
      event: 'request.refused',
      fields: { id, status, reason, host, path, retryAfterMs },
    },
  ];
}

/** When a caller may come back to another entry VM, in milliseconds. */
const ELSEWHERE_MS = 50;
/** When a process that has just started may know its configuration, in milliseconds. */
const STARTING_MS = 300;

/** A request is here: it is refused or a target is looked for. */
export function handleArrived(
  state: BalancerState,
  event: RequestArrived,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { table, stopAskedAt } = state;
  if (stopAskedAt !== undefined && now - stopAskedAt > STOP_TAKES_MS) {
    return answerAtOnce(event, 503, 'stopping', ELSEWHERE_MS);
  }
  if (isStarting(state, event, now)) return keepEarly(state, event);
  if (table === undefined) return answerAtOnce(event, 503, 'notConfigured', STARTING_MS);
  const route = findRoute(table, event.host, event.path);
  if (route === undefined) return answerAtOnce(event, 404, 'noRoute');
  const allowedMs = Math.min(event.allowedMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
  const sinceFirstMs =
    event.allowedMs === undefined ? 0 : state.callerTimes.note(route.name, event.allowedMs);
  const service = pickService(route.services, context.random());
  const journey: Journey = {
    request: event.request,
    callerRequestId: event.callerRequestId,
    route,
    service,
    lane: drawLane(state, service, route.name, context),
    arrivedAt: event.arrivedAt,
    sinceFirstMs,
    dueAt: event.arrivedAt + route.objectiveMs - sinceFirstMs,
    deadlineAt: event.arrivedAt + allowedMs,
    callerLeavesAt: event.arrivedAt + (event.allowedMs ?? route.timeoutMs),
    round: undefined,
    rounds: 0,
    nextRoundAt: 0,
    sendings: new Set(),
    tried: new Set(),
    mayHaveRun: false,
    isRepeatPaid: false,
    isHedged: false,
  };
  state.journeys.set(journey.request, journey);
  state.retries.noteRequest(journey.service, now);
  return place(state, journey, context);
}

/** The caller hung up before configuration and targets were known. */
function forgetEarly(
  state: BalancerState,
  { request, callerRequestId: id, arrivedAt }: RequestArrived,
  { now }: BalancerContext,
): BalancerEffect[] {
  state.early.delete(request);
  const fields = { id, tookMs: Math.round(now - arrivedAt), tried: [] };
  return [{ kind: 'log', event: 'request.callerLeft', fields }];
}

/** The caller hung up: nothing more is done for it. */
export function handleCallerLeft(
  state: BalancerState,
  event: CallerLeft,
  context: BalancerContext,
): BalancerEffect[] {
  const early = state.early.get(event.request);
  if (early !== undefined) return forgetEarly(state, early, context);
  const journey = state.journeys.get(event.request);
  if (journey === undefined) return [];
  const { now } = context;
  const tookMs = Math.round(now - journey.arrivedAt);
  const tried = [...journey.tried];
  return [
    ...endJourney(state, journey, now),
    {
      kind: 'log',
      event: 'request.callerLeft',
      fields: { id: journey.callerRequestId, route: journey.route.name, tookMs, tried },
    },
  ];
}

/** Whether a sending left nothing at the target that could run. */
const HAS_NOT_RUN: Readonly<Record<AttemptEnd['kind'], boolean>> = {
  answered: false,
  rejected: true,
  misdirected: true,
  unsent: true,
  broken: false,
  spoilt: false,
};

function deliver(
  state: BalancerState,
  journey: Journey,
  sending: Sending,
  status: number,
  now: number,
): BalancerEffect[] {
  const { request, route, arrivedAt } = journey;
  return [
    { kind: 'deliver', request, attempt: sending.attempt },
    ...endJourney(state, journey, now),
    {
      kind: 'log',
      event: 'request.answered',
      fields: {
        id: journey.callerRequestId,
        status,
        route: route.name,
        target: sending.target.entry.id,
        tookMs: Math.round(now - arrivedAt),
        objectiveMs: route.objectiveMs,
        sinceFirstMs: journey.sinceFirstMs,
        targetMs: Math.round(now - sending.sentAt),
        expectedMs: Math.round(sending.expectedMs),
        sendings: journey.tried.size,
      },
    },
  ];
}

/** Whether a request whose sending failed may be sent once more; takes it from the budget if so. */
function mayRepeat(
  state: BalancerState,
  journey: Journey,
  hasNotRun: boolean,
  now: number,
): boolean {
  if (!hasNotRun && !journey.route.isIdempotent) return false;
  if (journey.tried.size >= journey.route.maxTargets) return false;
  return state.retries.take(journey.service, state.vms.length, now);
}

/** Why a request is refused that a target has not run. */
function getRejection(end: AttemptEnd): 'rejected' | 'rejectedWithRoom' {
  const reading = end.kind === 'rejected' ? end.reading : undefined;
  const hasRoom = reading !== undefined && reading.running < reading.slots;
  return hasRoom ? 'rejectedWithRoom' : 'rejected';
}

/** Delivers the answer of a sending that is over, sends the request again, or tells the caller. */
function endAttempt(
  state: BalancerState,
  event: AttemptEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const { end } = event;
  const sending = state.sendings.get(event.attempt);
  const journey = sending && state.journeys.get(sending.request);
  if (sending === undefined || journey === undefined) return [];
  forgetSending(state, sending);
  const effects = learn(state, journey, sending, end, now);
  const hasNotRun = HAS_NOT_RUN[end.kind];
  if (!hasNotRun) journey.mayHaveRun = true;
  leaveTrial(state, journey, now);
  if (end.kind === 'unsent') journey.tried.delete(sending.target.entry.id);
  const isFailure = end.kind !== 'answered' || end.status >= FIRST_FAILURE;
  if (!isFailure) return [...effects, ...deliver(state, journey, sending, end.status, now)];
  effects.push({
    kind: 'log',
    event: 'attempt.failed',
    fields: {
      id: journey.callerRequestId,
      attempt: event.attempt,
      target: sending.target.entry.id,
      end: end.kind,
      status: end.kind === 'answered' ? end.status : undefined,
      tookMs: Math.round(now - sending.sentAt),
    },
  });
  // The other sending of a hedged request may still bring the answer.
  if (journey.sendings.size > 0) return effects;
  if (end.kind === 'unsent' || mayRepeat(state, journey, hasNotRun, now)) {
    journey.nextRoundAt = now;
    return [...effects, ...place(state, journey, context)];
  }
  if (end.kind === 'answered') {
    return [...effects, ...deliver(state, journey, sending, end.status, now)];
  }
  return [...effects, ...answerRefused(state, journey, getRejection(end), context)];
}

/** A sending is over; what its target told of its load may be room for others. */
export function handleAttemptEnded(
  state: BalancerState,
  event: AttemptEnded,
  context: BalancerContext,
): BalancerEffect[] {
  const service = state.sendings.get(event.attempt)?.target.entry.service;
  const effects = endAttempt(state, event, context);
  if (service === undefined || !('reading' in event.end)) return effects;
  return [...effects, ...placeWaiting(state, service, context)];
}

function endInTime(
  state: BalancerState,
  journey: Journey,
  context: BalancerContext,
): BalancerEffect[] {
  const isOut = journey.sendings.size > 0;
  for (const { target } of journey.sendings) noteOutcome(target, true, context.now);
  if (isOut || journey.mayHaveRun) return answerOwn(state, journey, 'timedOut', context);
  return answerOwn(state, journey, 'overloaded', context);
}

/**
 * Starts a second sending of an idempotent request beside one that takes too long.
 *
 * A target that hangs or has turned slow gives no sign but the time that passes; seen as requests
 * that miss their objective while other targets stand idle.
 */
function hedge(state: BalancerState, journey: Journey, context: BalancerContext): BalancerEffect[] {
  const { route, tried, service } = journey;
  const { now } = context;
  leaveTrial(state, journey, now);
  if (!route.isIdempotent || tried.size >= route.maxTargets) return [];
  if (!journey.isHedged) {
    if (!state.retries.take(service, state.vms.length, now, HEDGE_BUDGET_SHARE)) return [];
    journey.isHedged = true;
  }
  return place(state, journey, context);
}

/** A time that was asked for has come: a round is over, a sending is late, or time has run out. */
export function handleWake(
  state: BalancerState,
  event: WakeDue,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const early = state.early.get(event.request);
  if (early !== undefined) {
    state.early.delete(event.request);
    return handleArrived(state, early, context);
  }
  const journey = state.journeys.get(event.request);
  if (journey === undefined) return [];
  if (now >= journey.deadlineAt) return endInTime(state, journey, context);
  if (journey.sendings.size === 0) return place(state, journey, context);
  let isLate = false;
  for (const sending of journey.sendings) {
    if (sending.isOverdue || now < sending.overdueAt) continue;
    sending.isOverdue = true;
    isLate = true;
    noteVersionAnswer(state, journey, sending, true);
    noteSlowness(sending.target, (now - sending.sentAt) / Math.max(1, sending.expectedMs), now);
  }
  const wake: BalancerEffect = { kind: 'wake', request: journey.request, at: getNextWake(journey) };
  if (journey.sendings.size > 1 || !(isLate || journey.round !== undefined)) return [wake];
  const effects = hedge(state, journey, context);
  return effects.some(({ kind }) => kind === 'wake') ? effects : [...effects, wake];
}
