import type { BalancerState } from './BalancerState.js';
import { getCurve } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { AttemptEnd } from './events.js';
import type { Journey, Sending } from './Journey.js';
import { noteLimit } from './limits.js';
import { DEAD_MOST_MS, DEAD_MS, FIRST_FAILURE, GOOD_SLOWDOWN } from './settings.js';
import type { TargetRecord } from './TargetRecord.js';
import { noteOutcome, noteSlowness } from './TargetRecord.js';
import { isOnTrial, noteVersionAnswer } from './versions.js';

/**
 * Leaves a target alone that takes no connection.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function markDead(record: TargetRecord, now: number): BalancerEffect[] {
  const forMs = Math.min(DEAD_MOST_MS, DEAD_MS * 2 ** record.deadTimes);
  record.deadTimes += 1;
  record.deadUntil = now + forMs;
  record.reading = undefined;
  return [
    {
      kind: 'log',
      event: 'target.dead',
      fields: {
        target: record.entry.id,
        service: record.entry.service,
        times: record.deadTimes,
        forMs,
      },
    },
  ];
}

function round(value: number): number {
  return Number(value.toFixed(2));
}

/** Learns the route's work, and what the load that was read did to it. */
function learnTimes(
  state: BalancerState,
  { route, service }: Journey,
  { basis, expectedMs, workMs }: Sending,
  tookMs: number,
): BalancerEffect[] {
  const { busy, slots, slowdown, isCold } = basis;
  const isTelling = !isCold && slowdown <= GOOD_SLOWDOWN;
  if (isTelling) state.work.note(route, tookMs / Math.max(1, expectedMs), busy > slots / 2);
  const curve = getCurve(state, service);
  curve.note(basis, tookMs / Math.max(1, workMs));
  const news = curve.takeNews();
  if (news === undefined) return [];
  const fields = {
    service,
    levels: news.levels.map(round),
    slowdownWeight: round(news.slowdownWeight),
    coldSlowdown: round(news.coldSlowdown),
    answers: news.answers,
    route: route.name,
    workMs: Math.round(state.work.get(route)),
  };
  return [{ kind: 'log', event: 'service.learnt', fields }];
}

/**
 * Learns from how a sending ended.
 * @param state - What is known.
 * @param journey - The request.
 * @param sending - The sending.
 * @param end - How it ended.
 * @param now - Monotonic milliseconds.
 */
export function learn(
  state: BalancerState,
  journey: Journey,
  sending: Sending,
  end: AttemptEnd,
  now: number,
): BalancerEffect[] {
  const { target } = sending;
  const effects =
    end.kind === 'answered' || end.kind === 'rejected'
      ? noteLimit(state, target, end.limit, now)
      : [];
  if (end.kind === 'unsent' || end.kind === 'misdirected') return markDead(target, now);
  if ((end.kind === 'answered' || end.kind === 'rejected') && end.reading !== undefined) {
    target.reading = end.reading;
    target.sentSinceReading = 0;
  }
  const isSuccess = end.kind === 'answered' && end.status < FIRST_FAILURE;
  noteOutcome(target, !isSuccess, now);
  const isCounted = sending.isOverdue || end.kind === 'rejected';
  if (!isCounted) noteVersionAnswer(state, journey, sending, !isSuccess);
  if (!isSuccess) return effects;
  const tookMs = now - sending.sentAt;
  noteSlowness(target, tookMs / Math.max(1, sending.expectedMs), now);
  return isOnTrial(state, target)
    ? effects
    : [...effects, ...learnTimes(state, journey, sending, tookMs)];
}
