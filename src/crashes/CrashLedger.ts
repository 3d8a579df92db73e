import type {
  CrashNews,
  SuspectReport,
  SuspectVerdict,
  TargetObservation,
  TargetRun,
} from './model.js';
import { getRunKey } from './model.js';

/**
 * Time after an answer within which crashes do not count, in milliseconds. A popular request runs
 * on most targets, and so also on those that crash for another reason.
 */
const ANSWER_VALIDITY_MS = 10_000;

/** Thresholds of a `CrashLedger`. */
export interface CrashLedgerOptions {
  /** Number of crashes from which a request is refused. */
  readonly minCrashesToRefuse: number;
  /** How long fewer crashes are remembered, in milliseconds. */
  readonly suspicionTtlMs: number;
  /**
   * How long a request is refused after its latest crash until it may be tried again, in
   * milliseconds; each trial that crashes a target multiplies the time.
   */
  readonly firstRefusalMs: number;
}

const REFUSAL_GROWTH = 4;
const MAX_REFUSAL_MS = 86_400_000;

/** Maximum number of suspects; beyond it the one with the least evidence is dropped. */
const MAX_SUSPECTS = 500;

/** Maximum number of crashes that are kept of one suspect. */
const MAX_CRASHES_PER_SUSPECT = 8;

/** Maximum number of answered requests that are remembered; enough for the popular ones. */
const MAX_ANSWERED = 4_096;

/** How long it is remembered that a run answered after a reported crash, in milliseconds. */
const ALIVE_TTL_MS = 60_000;

/**
 * Time after a crash from which answers do not contradict it, in milliseconds: the target may have
 * started again under the same id, which answers do not show.
 */
const MIN_RESTART_MS = 1_500;

interface Observed {
  readonly run: TargetRun;
  /** Monotonic milliseconds of this process. */
  readonly at: number;
}

interface Suspect {
  /** By `getRunKey`: several connections that break at one run show one crash. */
  readonly crashes: Map<string, Observed>;
  answeredAt: number | undefined;
}

/** Whether the answer of a run shows that a reported crash of it did not happen. */
function isContradicted(crash: Observed, answer: Observed): boolean {
  return answer.at >= crash.at && answer.at - crash.at < MIN_RESTART_MS;
}

function toObservation({ run, at }: Observed, now: number): TargetObservation {
  return { ...run, ageMs: Math.round(now - at) };
}

/**
 * Counts the crashes of targets by the requests that were running on them. Copies on several entry
 * VMs converge in whatever order their news arrive: crashes are a set, and only the latest answer
 * counts.
 */
export class CrashLedger {
  /** By fingerprint, in order of the latest change. @internal */
  private readonly suspects = new Map<string, Suspect>();

  /** Time of the latest answer by fingerprint, in order of that time. @internal */
  private readonly answered = new Map<string, number>();

  /** Position from which suspects are repeated next. @internal */
  private repeated = 0;

  /** Runs that answered after a reported crash, by `getRunKey`. @internal */
  private readonly alive = new Map<string, Observed>();

  /** @param options - Thresholds. */
  constructor(private readonly options: CrashLedgerOptions) {}

  /** Number of requests that are suspected, or were lately. */
  get size(): number {
    return this.suspects.size;
  }

  /** Whether no request is suspected. */
  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /**
   * Returns the targets that crashed while they ran a request, oldest crash first.
   * @param fingerprint - Fingerprint of the request.
   * @param now - Monotonic milliseconds.
   */
  getCrashes(fingerprint: string, now: number): readonly TargetRun[] {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || this.isExpired(suspect, now)) return [];
    return CrashLedger.getEvidence(suspect).map(({ run }) => run);
  }

  /**
   * Decides how a copy of a request is handled.
   * @param fingerprint - Fingerprint of the request.
   * @param now - Monotonic milliseconds.
   */
  getVerdict(fingerprint: string, now: number): SuspectVerdict {
    const count = this.getCrashes(fingerprint, now).length;
    if (count === 0) return 'clear';
    if (count < this.options.minCrashesToRefuse) return 'suspected';
    return this.getRefusalMs(fingerprint, now) > 0 ? 'refused' : 'trial';
  }

  /**
   * Returns for how much longer a request is refused, in milliseconds; 0 if it is not.
   * @param fingerprint - Fingerprint of the request.
   * @param now - Monotonic milliseconds.
   */
  getRefusalMs(fingerprint: string, now: number): number {
    const suspect = this.suspects.get(fingerprint);
    const crashes = suspect === undefined ? [] : CrashLedger.getEvidence(suspect);
    if (crashes.length < this.options.minCrashesToRefuse) return 0;
    const refusalMs = this.getRefusalTotalMs(crashes.length);
    return Math.max(0, crashes[crashes.length - 1].at + refusalMs - now);
  }

  /**
   * Records that a target crashed while it ran a request.
   * @param fingerprint - Fingerprint of the request.
   * @param run - The target.
   * @param at - When it crashed; monotonic milliseconds.
   * @returns Whether the crash counts and was not known.
   */
  recordCrash(fingerprint: string, run: TargetRun, at: number): boolean {
    if (this.isAnsweredLately(fingerprint, at)) return false;
    return this.addCrash(fingerprint, { run, at });
  }

  /**
   * Whether this VM has seen an answer to a request so shortly before a time that a crash then does
   * not count.
   * @param fingerprint - Fingerprint of the request.
   * @param at - Monotonic milliseconds.
   */
  isAnsweredLately(fingerprint: string, at: number): boolean {
    const answeredAt = this.answered.get(fingerprint);
    return answeredAt !== undefined && at - answeredAt < ANSWER_VALIDITY_MS;
  }

  /**
   * Records that a target completed an answer to a request.
   * @param fingerprint - Fingerprint of the request.
   * @param now - Monotonic milliseconds.
   * @returns Whether the request was suspected.
   */
  recordAnswer(fingerprint: string, now: number): boolean {
    // Deleting first moves the entry to the end.
    this.answered.delete(fingerprint);
    this.answered.set(fingerprint, now);
    if (this.answered.size > MAX_ANSWERED) {
      const [oldest] = this.answered.keys();
      this.answered.delete(oldest);
    }
    return this.clear(fingerprint, now);
  }

  /**
   * Records that a run of a target has answered: what was taken for its crash just before was a fault
   * of the path to it.
   * @param run - The run.
   * @param now - Monotonic milliseconds.
   * @returns Whether a crash of this run had been recorded.
   */
  recordAlive(run: TargetRun, now: number): boolean {
    // Without a start time, another process under the same id cannot be told from this one.
    if (this.isEmpty || run.bornAt === 0) return false;
    return this.retract({ run, at: now });
  }

  /**
   * Applies what another VM knows.
   * @param news - The news.
   * @param now - Monotonic milliseconds.
   * @returns What is worth telling others: what was not known here, or contradicts the news.
   */
  merge(news: CrashNews, now: number): CrashNews {
    const retracted = news.alive.filter(({ target, bornAt, ageMs }) =>
      this.retract({ run: { target, bornAt }, at: now - ageMs }),
    );
    const changed = news.suspects.filter((report) => this.mergeSuspect(report, now));
    return {
      suspects: changed.map(({ fingerprint }) => this.getReport(fingerprint, now)),
      alive: retracted,
    };
  }

  /**
   * Returns what is known of a request, for other VMs.
   * @param fingerprint - Fingerprint of the request.
   * @param now - Monotonic milliseconds.
   */
  getReport(fingerprint: string, now: number): SuspectReport {
    const suspect = this.suspects.get(fingerprint);
    const answeredAt = suspect?.answeredAt ?? this.answered.get(fingerprint);
    return {
      fingerprint,
      crashes: [...(suspect?.crashes.values() ?? [])].map((each) => toObservation(each, now)),
      answeredAgeMs: answeredAt === undefined ? undefined : Math.round(now - answeredAt),
    };
  }

  /**
   * Returns some of what is known, for VMs that have missed it: refused requests first, each time
   * others if there are many.
   * @param count - Maximum number of suspects.
   * @param now - Monotonic milliseconds.
   */
  getNewsToRepeat(count: number, now: number): CrashNews {
    this.removeExpired(now);
    const refused = [...this.suspects.keys()].filter((each) => this.getRefusalMs(each, now) > 0);
    const suspects = refused.length === 0 ? [...this.suspects.keys()] : refused;
    const start = suspects.length > count ? this.repeated % suspects.length : 0;
    this.repeated = start + count;
    const chosen = [...suspects, ...suspects].slice(
      start,
      start + Math.min(count, suspects.length),
    );
    const alive = [...this.alive.values()].slice(-count);
    return {
      suspects: chosen.map((fingerprint) => this.getReport(fingerprint, now)),
      alive: alive.map((each) => toObservation(each, now)),
    };
  }

  /** Crashes that count, in order of time. @internal */
  private static getEvidence({ crashes, answeredAt }: Suspect): readonly Observed[] {
    return [...crashes.values()]
      .filter(({ at }) => answeredAt === undefined || at > answeredAt + ANSWER_VALIDITY_MS)
      .sort((a, b) => a.at - b.at);
  }

  /** @internal */
  private getRefusalTotalMs(crashes: number): number {
    const { minCrashesToRefuse, firstRefusalMs } = this.options;
    const trials = crashes - minCrashesToRefuse;
    return Math.min(MAX_REFUSAL_MS, firstRefusalMs * REFUSAL_GROWTH ** trials);
  }

  /** @internal */
  private addCrash(fingerprint: string, crash: Observed): boolean {
    const key = getRunKey(crash.run);
    const alive = this.alive.get(key);
    if (alive !== undefined && isContradicted(crash, alive)) return false;
    const suspect = this.suspects.get(fingerprint) ?? { crashes: new Map(), answeredAt: undefined };
    const known = suspect.crashes.get(key);
    if (known !== undefined) {
      // The earliest time is the same for all VMs, in whatever order they learn of it.
      if (crash.at < known.at) suspect.crashes.set(key, crash);
      return false;
    }
    if (suspect.crashes.size >= MAX_CRASHES_PER_SUSPECT) return false;
    suspect.crashes.set(key, crash);
    this.suspects.delete(fingerprint);
    this.suspects.set(fingerprint, suspect);
    if (this.suspects.size > MAX_SUSPECTS) this.dropWeakest();
    return true;
  }

  /** @internal */
  private clear(fingerprint: string, at: number): boolean {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || (suspect.answeredAt ?? Number.NEGATIVE_INFINITY) >= at) {
      return false;
    }
    const wasSuspected = CrashLedger.getEvidence(suspect).length > 0;
    suspect.answeredAt = at;
    return wasSuspected;
  }

  /** @internal */
  private retract(alive: Observed): boolean {
    const key = getRunKey(alive.run);
    let hadCrashed = false;
    for (const { crashes } of this.suspects.values()) {
      const crash = crashes.get(key);
      if (crash === undefined || !isContradicted(crash, alive)) continue;
      crashes.delete(key);
      hadCrashed = true;
    }
    if (hadCrashed) this.alive.set(key, alive);
    return hadCrashed;
  }

  /** @internal */
  private mergeSuspect(report: SuspectReport, now: number): boolean {
    const { fingerprint, crashes, answeredAgeMs } = report;
    let hasChanged = false;
    for (const { target, bornAt, ageMs } of crashes) {
      const crash = { run: { target, bornAt }, at: now - ageMs };
      if (this.addCrash(fingerprint, crash)) hasChanged = true;
    }
    const answeredAt = answeredAgeMs === undefined ? undefined : now - answeredAgeMs;
    if (answeredAt !== undefined && this.clear(fingerprint, answeredAt)) hasChanged = true;
    const answeredHereAt = this.answered.get(fingerprint);
    // An answer to this VM that the sender does not know of.
    if (answeredHereAt !== undefined && this.clear(fingerprint, answeredHereAt)) hasChanged = true;
    return hasChanged;
  }

  /** @internal */
  private isExpired(suspect: Suspect, now: number): boolean {
    const crashes = [...suspect.crashes.values()];
    const latestAt = Math.max(...crashes.map(({ at }) => at));
    const count = CrashLedger.getEvidence(suspect).length;
    // Twice the time of a refusal, so that there is a time for a trial after it.
    const ttlMs =
      count < this.options.minCrashesToRefuse
        ? this.options.suspicionTtlMs
        : 2 * this.getRefusalTotalMs(count);
    return now - latestAt > ttlMs;
  }

  /** @internal */
  private removeExpired(now: number): void {
    for (const [fingerprint, suspect] of this.suspects) {
      if (this.isExpired(suspect, now)) this.suspects.delete(fingerprint);
    }
    for (const [key, { at }] of this.alive) if (now - at > ALIVE_TTL_MS) this.alive.delete(key);
  }

  /** @internal */
  private dropWeakest(): void {
    let weakest: string | undefined;
    let fewest = Number.POSITIVE_INFINITY;
    for (const [fingerprint, suspect] of this.suspects) {
      const count = CrashLedger.getEvidence(suspect).length;
      if (count >= fewest) continue;
      fewest = count;
      weakest = fingerprint;
    }
    if (weakest !== undefined) this.suspects.delete(weakest);
  }
}
