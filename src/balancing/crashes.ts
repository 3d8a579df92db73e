import { getRendezvousWinner } from '../core/hash.js';
import type { ServiceName } from '../core/model/index.js';
import type { CrashNews, TargetRun } from '../crashes/index.js';
import { getRunKey } from '../crashes/index.js';
import type { BalancerContext, BalancerState } from './BalancerState.js';
import type { BalancerEffect } from './effects.js';
import type { CrashesReported } from './events.js';
import type { PendingRequest } from './PendingRequest.js';
import { startProbe } from './probing.js';
import { hasHeardSince } from './reachability.js';
import type { TargetRecord } from './TargetRecord.js';
import { isDraining } from './TargetRecord.js';

/**
 * Number of crashes up to which a request whose connection broke gets another attempt. Requests that
 * ran beside the one that crashed the target are lost without it.
 */
const MAX_CRASHES_TO_RETRY = 1;

/** How long a broken connection waits for the proof that its target crashed, in milliseconds. */
const PROOF_TIMEOUT_MS = 1_000;

/**
 * Time by which an answer must be later than a reported crash to contradict it, in milliseconds:
 * the answer may have been on its way, and the age of the report does not include its transit.
 */
const REPORT_SKEW_MS = 150;

/** A run of a target whose connections broke while it was running requests. */
export interface BrokenRun {
  readonly run: TargetRun;
  readonly service: ServiceName;
  /** When the first connection broke; monotonic milliseconds. */
  readonly at: number;
  /** Fingerprints of the requests that it was running. */
  readonly fingerprints: Set<string>;
  /** Whether the service had another live target then, which can show that the path is sound. */
  readonly hasControl: boolean;
  /** Whether it has accepted no connection since. */
  isGone: boolean;
  /** Whether its crash has been recorded. */
  isRecorded: boolean;
}

function toRun({ entry }: TargetRecord): TargetRun {
  return { target: entry.id, bornAt: entry.bornAt };
}

function hasNews({ suspects, alive }: CrashNews): boolean {
  return suspects.length > 0 || alive.length > 0;
}

function getCrashedTargets({ crashes }: BalancerState, fingerprint: string, now: number): string[] {
  return crashes.getCrashes(fingerprint, now).map(({ target }) => target);
}

/** Tells other VMs what is known of a request, and logs it. */
function reportSuspect(
  { crashes }: BalancerState,
  fingerprint: string,
  event: 'request.suspected' | 'request.cleared',
  fields: Readonly<Record<string, unknown>>,
  now: number,
): BalancerEffect[] {
  const news = { suspects: [crashes.getReport(fingerprint, now)], alive: [] };
  return [
    { kind: 'gossipCrashes', news },
    { kind: 'log', event, fields: { fingerprint, ...fields } },
  ];
}

function logUncounted(
  { run: { target } }: BrokenRun,
  fingerprint: string,
  reason: 'answered' | 'unproved',
): BalancerEffect {
  return { kind: 'log', event: 'crash.notCounted', fields: { fingerprint, target, reason } };
}

function recordCrash(
  state: BalancerState,
  broken: BrokenRun,
  fingerprint: string,
  now: number,
): BalancerEffect[] {
  const { run, at } = broken;
  if (state.crashes.isAnsweredLately(fingerprint, at)) {
    return [logUncounted(broken, fingerprint, 'answered')];
  }
  if (!state.crashes.recordCrash(fingerprint, run, at)) return [];
  const crashed = getCrashedTargets(state, fingerprint, now);
  const fields = { target: run.target, crashed, source: 'attempt' };
  return reportSuspect(state, fingerprint, 'request.suspected', fields, now);
}

/**
 * Whether this VM has heard from another target of the service since a run broke; of any service, if
 * there was no other.
 */
function isPathSound(state: BalancerState, { service, at, hasControl }: BrokenRun): boolean {
  const services = hasControl ? [service] : [...state.reach.keys()];
  return services.some((each) => hasHeardSince(state, each, at));
}

/**
 * Records the crashes that are proved: the target accepts no connection, and another one has answered
 * since, so that the path of this VM is sound.
 */
function recordProvedCrashes(state: BalancerState, now: number): BalancerEffect[] {
  const effects: BalancerEffect[] = [];
  for (const [key, broken] of state.brokenRuns) {
    if (now - broken.at > PROOF_TIMEOUT_MS) {
      state.brokenRuns.delete(key);
      if (!broken.isGone || broken.isRecorded) continue;
      for (const each of broken.fingerprints) effects.push(logUncounted(broken, each, 'unproved'));
    } else if (!broken.isRecorded && broken.isGone && isPathSound(state, broken)) {
      broken.isRecorded = true;
      for (const fingerprint of broken.fingerprints) {
        effects.push(...recordCrash(state, broken, fingerprint, now));
      }
    }
  }
  return effects;
}

/** Probes a target unless a probe of it is in flight. */
function probeNow(state: BalancerState, record: TargetRecord, now: number): BalancerEffect[] {
  return record.probeSentAt === undefined ? [startProbe(state, record, now)] : [];
}

/**
 * Records that the connection of an attempt broke, and looks for the proof that its target crashed.
 *
 * The break alone shows no crash: answers are cut and connections reset for other reasons. The end of
 * a target that was announced, or that is known already, says nothing about its requests.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param fingerprint - Fingerprint of the request.
 * @param context - Clock and random source.
 */
export function recordBrokenConnection(
  state: BalancerState,
  record: TargetRecord,
  fingerprint: string,
  { now, random }: BalancerContext,
): BalancerEffect[] {
  const { entry } = record;
  if (isDraining(record) || state.targets.get(entry.id) !== record) return [];
  const run = toRun(record);
  const key = getRunKey(run);
  const known = state.brokenRuns.get(key);
  if (known !== undefined && now - known.at <= PROOF_TIMEOUT_MS) {
    known.fingerprints.add(fingerprint);
    return known.isRecorded ? recordCrash(state, known, fingerprint, now) : [];
  }
  const others = (state.targetsByService.get(entry.service) ?? []).filter(
    (other) => other !== record && other.deadUntil <= now && !isDraining(other),
  );
  const control = others[Math.floor(random() * others.length)];
  state.brokenRuns.set(key, {
    run,
    service: entry.service,
    at: now,
    fingerprints: new Set([fingerprint]),
    hasControl: control !== undefined,
    isGone: false,
    isRecorded: false,
  });
  return [
    ...probeNow(state, record, now),
    ...(control === undefined ? [] : probeNow(state, control, now)),
  ];
}

/**
 * Records that a target accepts no connection.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param now - Monotonic milliseconds.
 */
export function recordRunGone(
  state: BalancerState,
  record: TargetRecord,
  now: number,
): BalancerEffect[] {
  const broken = state.brokenRuns.get(getRunKey(toRun(record)));
  if (broken === undefined) return [];
  broken.isGone = true;
  return recordProvedCrashes(state, now);
}

/**
 * Records that a request or a probe of a target was answered.
 *
 * The process that takes the place of a crashed one may have its address, and answers before the
 * registration has changed.
 * @param state - State of this entry VM.
 * @param record - The target.
 * @param isIdentified - Whether no other process at its address can have answered.
 * @param now - Monotonic milliseconds.
 */
export function recordRunAnswer(
  state: BalancerState,
  record: TargetRecord,
  isIdentified: boolean,
  now: number,
): BalancerEffect[] {
  const run = toRun(record);
  const key = getRunKey(run);
  const isGone = state.brokenRuns.get(key)?.isGone === true;
  if (isIdentified || !isGone) state.brokenRuns.delete(key);
  const effects = state.brokenRuns.size > 0 ? recordProvedCrashes(state, now) : [];
  if (!isIdentified) return effects;
  record.identifiedAt = now;
  if (!state.crashes.recordAlive(run, now)) return effects;
  const { target } = run;
  const news = { suspects: [], alive: [{ ...run, ageMs: 0 }] };
  return [
    ...effects,
    { kind: 'gossipCrashes', news },
    { kind: 'log', event: 'request.cleared', fields: { target, reason: 'targetAlive' } },
  ];
}

/**
 * Records that a target has completed a request without an error, so that it has not crashed it.
 * @param state - State of this entry VM.
 * @param fingerprint - Fingerprint of the request.
 * @param target - The target that answered.
 * @param status - Status of the answer.
 * @param now - Monotonic milliseconds.
 */
export function recordRequestAnswered(
  state: BalancerState,
  fingerprint: string,
  target: TargetRecord,
  status: number,
  now: number,
): BalancerEffect[] {
  if (!state.crashes.recordAnswer(fingerprint, now)) return [];
  const fields = { target: target.entry.id, reason: 'answered', status };
  return reportSuspect(state, fingerprint, 'request.cleared', fields, now);
}

/** Applies what another VM knows of crashes, and passes on what is new. */
export function handleCrashesReported(
  state: BalancerState,
  { news }: CrashesReported,
  { now }: BalancerContext,
): BalancerEffect[] {
  const changed = state.crashes.merge(news, now);
  // What this VM has heard since a reported crash contradicts the report.
  const stillAlive = news.suspects
    .flatMap(({ crashes }) => crashes)
    .flatMap(({ target, bornAt, ageMs }) => {
      const record = state.targets.get(target);
      if (record?.entry.bornAt !== bornAt) return [];
      const { identifiedAt } = record;
      if (identifiedAt <= now - ageMs + REPORT_SKEW_MS) return [];
      return state.crashes.recordAlive({ target, bornAt }, identifiedAt)
        ? [{ target, bornAt, ageMs: Math.round(now - identifiedAt) }]
        : [];
    });
  const passedOn = { suspects: changed.suspects, alive: [...changed.alive, ...stillAlive] };
  if (!hasNews(passedOn)) return [];
  const lines = changed.suspects.map(({ fingerprint }): BalancerEffect => {
    const crashed = getCrashedTargets(state, fingerprint, now);
    const fields = { fingerprint, crashed, source: 'vm' };
    const event = crashed.length > 0 ? 'request.suspected' : 'request.cleared';
    return { kind: 'log', event, fields };
  });
  return [{ kind: 'gossipCrashes', news: passedOn }, ...lines];
}

/** Whether a request may run as the one copy that shows whether it still crashes targets. */
function isTrialAllowed(state: BalancerState, fingerprint: string): boolean {
  if (!state.areVmsKnown) return false;
  if (getRendezvousWinner(fingerprint, state.liveVms) !== state.settings.vm) return false;
  return [...state.pendingRequests.values()].every(
    (other) => other.fingerprint !== fingerprint || other.attempts.size === 0,
  );
}

/**
 * Whether a request is refused because targets crashed whenever they ran it.
 * @param state - State of this entry VM.
 * @param fingerprint - Fingerprint of the request.
 * @param now - Monotonic milliseconds.
 */
export function isRefusedForCrashes(
  state: BalancerState,
  fingerprint: string,
  now: number,
): boolean {
  if (state.crashes.isEmpty) return false;
  const verdict = state.crashes.getVerdict(fingerprint, now);
  return verdict === 'refused' || (verdict === 'trial' && !isTrialAllowed(state, fingerprint));
}

/**
 * Whether a request may get one more attempt after a failed one, by the crashes known before it.
 * @param state - State of this entry VM.
 * @param pending - The request.
 * @param isBroken - Whether the connection of the failed attempt broke.
 * @param now - Monotonic milliseconds.
 */
export function mayRetryAfterCrashes(
  state: BalancerState,
  { fingerprint }: PendingRequest,
  isBroken: boolean,
  now: number,
): boolean {
  if (state.crashes.isEmpty) return true;
  const known = state.crashes.getCrashes(fingerprint, now).length;
  return known === 0 || known + (isBroken ? 1 : 0) <= MAX_CRASHES_TO_RETRY;
}
