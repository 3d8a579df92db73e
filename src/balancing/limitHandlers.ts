import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { LimitsReported, PermitAnswered, PermitAsked } from './events.js';
import { placeWaiters } from './fleetHandlers.js';
import { askPermit, returnPermits, maySend, issue, takeLimitReports } from './limits.js';
import { probeStale } from './probing.js';

/** Another VM told what targets said of their limits. */
export function handleLimitsReported(
  state: BalancerState,
  { reports }: LimitsReported,
  { now }: BalancerContext,
): BalancerEffect[] {
  return takeLimitReports(state, reports, 'vm', now);
}

/** Another VM asks for a permit to send to a limited target. */
export function handlePermitAsked(
  state: BalancerState,
  { ask: { ask, target, bornAt, reports }, from }: PermitAsked,
  { now }: BalancerContext,
): BalancerEffect[] {
  const effects = takeLimitReports(state, reports, 'vm', now);
  const limited = { target, bornAt };
  const verdict = issue(state, limited, now);
  const known = state.limits.getReports(limited, now);
  const answer = { kind: 'permitAnswer', ask, ...limited, ...verdict, reports: known } as const;
  return [...effects, { kind: 'answerPermit', to: from, answer }];
}

/** An issuer answered: requests that wait for a permit are placed, or another issuer is asked. */
export function handlePermitAnswered(
  state: BalancerState,
  { answer }: PermitAnswered,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const effects = takeLimitReports(state, answer.reports, 'vm', now);
  const record = state.targets.get(answer.target);
  if (!state.permits.acceptAnswer(answer, now) || record === undefined) return effects;
  if (record.entry.bornAt !== answer.bornAt) return effects;
  if (record.probeWaiters.size === 0) return [...effects, ...returnPermits(state, [record], now)];
  if (maySend(state, record, now)) effects.push(...probeStale(state, [record], now));
  else effects.push(...askPermit(state, record, now));
  const isAwaited = record.probeSentAt !== undefined || state.permits.isPending(answer, now);
  return isAwaited ? effects : [...effects, ...placeWaiters(state, record, context)];
}
