import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { LimitsHeard, PermitAnswered, PermitAsked } from './events.js';
import { placeWaiters } from './fleetHandlers.js';
import { askLeave, giveLeavesBack, hasLeave, issue, takeLimitWords } from './limits.js';
import { probeStale } from './probing.js';

/** Another VM told what targets said of their limits. */
export function handleLimitsHeard(
  state: BalancerState,
  { words }: LimitsHeard,
  { now }: BalancerContext,
): BalancerEffect[] {
  return takeLimitWords(state, words, 'vm', now);
}

/** Another VM asks for leave to send to a limited target. */
export function handlePermitAsked(
  state: BalancerState,
  { ask: { ask, target, bornAt, words }, from }: PermitAsked,
  { now }: BalancerContext,
): BalancerEffect[] {
  const effects = takeLimitWords(state, words, 'vm', now);
  const limited = { target, bornAt };
  const verdict = issue(state, limited, now);
  const known = state.limits.getWords(limited, now);
  const answer = { kind: 'permitAnswer', ask, ...limited, ...verdict, words: known } as const;
  return [...effects, { kind: 'answerPermit', to: from, answer }];
}

/** An issuer answered: requests that wait for leave are placed, or another issuer is asked. */
export function handlePermitAnswered(
  state: BalancerState,
  { answer }: PermitAnswered,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const effects = takeLimitWords(state, answer.words, 'vm', now);
  const record = state.targets.get(answer.target);
  if (!state.permits.takeAnswer(answer, now) || record === undefined) return effects;
  if (record.entry.bornAt !== answer.bornAt) return effects;
  if (record.probeWaiters.size === 0) return [...effects, ...giveLeavesBack(state, [record], now)];
  if (hasLeave(state, record, now)) effects.push(...probeStale(state, [record], now));
  else effects.push(...askLeave(state, record, now));
  const isAwaited = record.probeSentAt !== undefined || state.permits.isAsking(answer, now);
  return isAwaited ? effects : [...effects, ...placeWaiters(state, record, context)];
}
