import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { AttemptResult, OutcomesReported } from './events.js';
import type { OutcomeReport } from './model.js';
import type { PendingAttempt } from './PendingRequest.js';
import { isPathSound } from './reachability.js';
import type { TargetRecord } from './TargetRecord.js';

/** Fewer outcomes than this, weighted by age, are not told. */
const MIN_TOLD_OUTCOMES = 0.1;

/** Time after which unchanged outcomes are told again, for VMs that have started, in milliseconds. */
const REPEAT_INTERVAL_MS = 3_000;

/** Shares of failures at which a target is logged as failing, and as sound again. */
const FAILING_SHARE = 0.2;
const SOUND_SHARE = 0.05;

/** Returns the event to log if other VMs' reports or an own attempt have changed the judgement. */
function logJudgement(record: TargetRecord, now: number): BalancerEffect[] {
  const share = record.outcomes.getFailureShare(now);
  const isFailing = record.isFailing ? share > SOUND_SHARE : share >= FAILING_SHARE;
  if (isFailing === record.isFailing) return [];
  record.isFailing = isFailing;
  const { id, service } = record.entry;
  const own = record.outcomes.getOwnCounts(now);
  const fields = {
    target: id,
    service,
    share: Number(share.toFixed(2)),
    ownSuccesses: Number(own.successes.toFixed(1)),
    ownFailures: Number(own.failures.toFixed(1)),
  };
  return [{ kind: 'log', event: isFailing ? 'target.failing' : 'target.sound', fields }];
}

/**
 * Counts the outcome of an attempt for all VMs. A rejection is not counted, as it tells of the load,
 * nor is a failure while this VM's own path may be at fault.
 * @param state - State of this entry VM.
 * @param attempt - The attempt.
 * @param end - Its result.
 * @param isSuccess - Whether the target answered with a success.
 * @param now - Monotonic milliseconds.
 */
export function countOutcome(
  state: BalancerState,
  { target: record, sentAt }: PendingAttempt,
  end: AttemptResult,
  isSuccess: boolean,
  now: number,
): BalancerEffect[] {
  if (end.kind === 'rejected') return [];
  if (!isSuccess && !isPathSound(state, record.entry.service, sentAt)) return [];
  record.outcomes.record(!isSuccess, now);
  return logJudgement(record, now);
}

/** Applies the outcomes that another VM has counted. */
export function handleOutcomesReported(
  { targets }: BalancerState,
  { from, reports }: OutcomesReported,
  { now }: BalancerContext,
): BalancerEffect[] {
  return reports.flatMap(({ target, bornAt, counts }) => {
    const record = targets.get(target);
    if (record === undefined || record.entry.bornAt !== bornAt) return [];
    record.outcomes.addReport(from, counts, now);
    return logJudgement(record, now);
  });
}

function isReportDue({ outcomes }: TargetRecord, now: number): boolean {
  const isDue = outcomes.hasNews || now - outcomes.reportedAt >= REPEAT_INTERVAL_MS;
  return isDue && outcomes.hasFailures(now);
}

/**
 * Returns the outcomes to tell other VMs, of targets that fail part of the attempts: those that this
 * VM has counted since it last reported them, and after some time the others again, most failures
 * first.
 * @param state - State of this entry VM.
 * @param count - Maximum number of targets.
 * @param now - Monotonic milliseconds.
 */
export function takeOutcomeReports(
  { targets }: BalancerState,
  count: number,
  now: number,
): readonly OutcomeReport[] {
  return [...targets.values()]
    .filter((record) => isReportDue(record, now))
    .map((record) => ({ record, counts: record.outcomes.getOwnCounts(now) }))
    .filter(({ counts }) => counts.successes + counts.failures >= MIN_TOLD_OUTCOMES)
    .sort((a, b) => b.counts.failures - a.counts.failures)
    .slice(0, count)
    .map(({ record: { entry, outcomes }, counts }) => {
      outcomes.hasNews = false;
      outcomes.reportedAt = now;
      return { target: entry.id, bornAt: entry.bornAt, counts };
    });
}
