import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { LimitsReported, PermitAnswered, PermitAsked } from './events.js';
import { placeProbeWaiters } from './fleetHandlers.js';
import {
  askPermit,
  returnPermits,
  isWithinLimit,
  issuePermit,
  applyLimitReports,
} from './limits.js';
import { probeStaleTargets } from './probing.js';

/** Applies limits that another VM has reported. */
export function handleLimitsReported(
  state: BalancerState,
  { reports }: LimitsReported,
  { now }: BalancerContext,
): BalancerEffect[] {
  return applyLimitReports(state, reports, 'vm', now);
}

/** Decides on another VM's request for a permit to send to a limited target. */
export function handlePermitAsked(
  state: BalancerState,
  { ask: { ask, target, bornAt, reports }, from }: PermitAsked,
  { now }: BalancerContext,
): BalancerEffect[] {
  const effects = applyLimitReports(state, reports, 'vm', now);
  const limited = { target, bornAt };
  const verdict = issuePermit(state, limited, now);
  const known = state.limits.getReports(limited, now);
  const answer = { kind: 'permitAnswer', ask, ...limited, ...verdict, reports: known } as const;
  return [...effects, { kind: 'answerPermit', to: from, answer }];
}

/**
 * Applies an issuer's answer: places the requests that wait for a permit, or asks another issuer.
 */
export function handlePermitAnswered(
  state: BalancerState,
  { answer }: PermitAnswered,
  context: BalancerContext,
): BalancerEffect[] {
  const { now } = context;
  const effects = applyLimitReports(state, answer.reports, 'vm', now);
  const record = state.targets.get(answer.target);
  if (!state.permits.acceptAnswer(answer, now) || record === undefined) return effects;
  if (record.entry.bornAt !== answer.bornAt) return effects;
  if (record.probeWaiters.size === 0) return [...effects, ...returnPermits(state, [record], now)];
  if (isWithinLimit(state, record, now)) effects.push(...probeStaleTargets(state, [record], now));
  else effects.push(...askPermit(state, record, now));
  const isStillAwaited = record.probeSentAt !== undefined || state.permits.isPending(answer, now);
  return isStillAwaited ? effects : [...effects, ...placeProbeWaiters(state, record, context)];
}
