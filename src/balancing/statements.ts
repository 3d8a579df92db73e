import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { StatementsRead } from './events.js';
import type { TargetStatements } from './model.js';
import { logTargets } from './targetLog.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * Longest pause, in milliseconds. A target that names a longer one is asked again after this time,
 * since it would otherwise be lost to this VM by a slip of its configuration.
 */
const MAX_PAUSE_MS = 3_600_000;

/** Number of unknown headers that are logged; a faulty target may send any number of names. */
const MAX_LOGGED_HEADERS = 20;

/** What brought a target's statements: an answer to a request, or to a probe. */
export type StatementSource = 'answer' | 'probe';

function recordPause(
  { entry, notices }: TargetRecord,
  pauseMs: TargetStatements['pauseMs'],
  source: StatementSource,
  now: number,
): BalancerEffect[] {
  const { id: target, service } = entry;
  if (pauseMs === undefined) return [];
  if (pauseMs === 'unreadable') {
    return [{ kind: 'log', event: 'target.pauseUnreadable', fields: { target, service, source } }];
  }
  const forMs = Math.min(MAX_PAUSE_MS, pauseMs);
  // Each rejection binds for its own time, and answers may overtake each other.
  if (now + forMs <= Math.max(now, notices.pausedUntil)) return [];
  notices.pausedUntil = now + forMs;
  return [{ kind: 'log', event: 'target.paused', fields: { target, service, forMs, source } }];
}

function recordDrain(
  { versions, targetsByService }: BalancerState,
  { entry, notices }: TargetRecord,
  source: StatementSource,
): BalancerEffect[] {
  if (notices.hasAnnouncedDrain) return [];
  notices.hasAnnouncedDrain = true;
  // A rollout's trial needs another target in its place.
  versions.sortNewTargets(entry.service, targetsByService.get(entry.service) ?? []);
  return logTargets('target.draining', [entry], source);
}

/** Logs each unknown header once, so that a statement that nothing acts on is noticed. */
function logUnreadHeaders(
  { loggedUnreadHeaders: logged }: BalancerState,
  { entry }: TargetRecord,
  names: readonly string[],
): BalancerEffect[] {
  return names.flatMap((header): BalancerEffect[] => {
    if (logged.has(header) || logged.size >= MAX_LOGGED_HEADERS) return [];
    logged.add(header);
    const fields = { header, target: entry.id, service: entry.service };
    return [{ kind: 'log', event: 'target.headerUnread', fields }];
  });
}

/**
 * Records what an answer states about its target.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param statements - What the answer states.
 * @param source - What brought the answer.
 * @param now - Monotonic milliseconds.
 */
export function recordStatements(
  state: BalancerState,
  record: TargetRecord,
  { pauseMs, isDraining = false, unreadHeaders = [] }: TargetStatements,
  source: StatementSource,
  now: number,
): BalancerEffect[] {
  return [
    ...recordPause(record, pauseMs, source, now),
    ...(isDraining ? recordDrain(state, record, source) : []),
    ...logUnreadHeaders(state, record, unreadHeaders),
  ];
}

/** Records what an answer to a cancelled attempt states. */
export function handleStatements(
  state: BalancerState,
  { target, bornAt, statements }: StatementsRead,
  { now }: BalancerContext,
): BalancerEffect[] {
  const record = state.targets.get(target);
  if (record === undefined || record.entry.bornAt !== bornAt) return [];
  return recordStatements(state, record, statements, 'answer', now);
}
