import type { Quota } from '../balancing/index.js';
import { getOwners, TokenBuckets } from '../limits/index.js';
import type { QuotaOutcome, QuotaVm, QuotaVmParts } from './QuotaScheme.js';

/** Interval at which VMs report what they passed on and were asked for, in milliseconds. */
const REPORT_INTERVAL_MS = 100;

/** A coordinator that has not answered for this long is replaced by the next one, in milliseconds. */
const SILENCE_MS = 300;

/** A VM whose reports none has answered for this long passes nothing on, in milliseconds. */
const CUT_OFF_MS = 1_000;

/** Limits bind once the bucket holds less than this share of its burst. */
const BINDING_SHARE = 0.5;

/** Time in which a coordinator spreads what is left in the bucket, in milliseconds. */
const SPREAD_MS = 1_000;

/** Length of the window over which a coordinator estimates the offered load, in milliseconds. */
const OFFERED_MS = 1_000;

/** Bytes of a report or answer without its entries, and of one entry. */
const FRAME_BYTES = 20;
const ENTRY_BYTES = 24;

interface ReportEntry {
  passed: number;
  offered: number;
}

interface OfferedLoad {
  perSecond: number;
  at: number;
}

/**
 * A VM of the alternative: it reports what it passed on to one coordinator for each organisation, which
 * answers with the share of requests to pass on once the sum nears the limit.
 */
export class QuotaReportVm implements QuotaVm {
  /** @internal */
  private quotas: ReadonlyMap<string, Quota> = new Map();

  /** @internal */
  private counts = new Map<string, ReportEntry>();

  /** Share of requests to pass on. @internal */
  private readonly shares = new Map<string, number>();

  /** @internal */
  private readonly owners = new Map<string, readonly string[]>();

  /** When each coordinator was first left without an answer. @internal */
  private readonly unansweredSince = new Map<number, number>();

  /** Coordinator's state. @internal */
  private buckets = new TokenBuckets(0);

  /** @internal */
  private readonly offered = new Map<string, OfferedLoad>();

  /** @param parts - Clock, network, peers. */
  constructor(private readonly parts: QuotaVmParts) {
    const { clock, random } = parts;
    clock.after(random() * REPORT_INTERVAL_MS, () => this.reportPeriodically());
  }

  start(): void {
    this.buckets = new TokenBuckets(0);
    this.offered.clear();
    this.counts.clear();
    this.shares.clear();
    this.unansweredSince.clear();
  }

  configure(quotas: ReadonlyMap<string, Quota>): void {
    this.quotas = quotas;
  }

  updateLiveVms(): void {}

  arrive(organisation: string, outcome: QuotaOutcome): void {
    const { random, rejectShare, clock } = this.parts;
    const entry = this.counts.get(organisation) ?? { passed: 0, offered: 0 };
    this.counts.set(organisation, entry);
    entry.offered += 1;
    const coordinator = this.getCoordinator(organisation);
    const isCutOff = coordinator === undefined;
    if (isCutOff || random() >= (this.shares.get(organisation) ?? 1)) {
      outcome.onRefused(REPORT_INTERVAL_MS);
      return;
    }
    // Both ways of enforcement probe targets before they send.
    clock.after(2 * this.parts.network.delayMs, () => {
      outcome.onSent();
      if (random() < rejectShare) return;
      entry.passed += 1;
      outcome.onRun();
    });
  }

  /** The first coordinator that answers; undefined if this VM is cut off. @internal */
  private getCoordinator(organisation: string): number | undefined {
    const { names, clock } = this.parts;
    const owners = this.owners.get(organisation) ?? getOwners(organisation, names, 3);
    this.owners.set(organisation, owners);
    const silences = owners.map((name) => {
      const since = this.unansweredSince.get(names.indexOf(name));
      return since === undefined ? 0 : clock.now() - since;
    });
    if (silences[0] > CUT_OFF_MS && silences.every((ms) => ms > SILENCE_MS)) return undefined;
    const answering = owners.findIndex((_, i) => silences[i] <= SILENCE_MS);
    return names.indexOf(owners[Math.max(0, answering)]);
  }

  /** @internal */
  private reportPeriodically(): void {
    const { clock, network, index, peers } = this.parts;
    const byCoordinator = new Map<number, [string, ReportEntry][]>();
    for (const [organisation, entry] of this.counts) {
      const to = this.getCoordinator(organisation) ?? 0;
      byCoordinator.set(to, [...(byCoordinator.get(to) ?? []), [organisation, entry]]);
    }
    this.counts = new Map();
    for (const [to, entries] of byCoordinator) {
      if (!this.unansweredSince.has(to)) this.unansweredSince.set(to, clock.now());
      network.send(index, to, FRAME_BYTES + ENTRY_BYTES * entries.length, () =>
        (peers[to] as QuotaReportVm).receiveReport(index, entries),
      );
    }
    clock.after(REPORT_INTERVAL_MS, () => this.reportPeriodically());
  }

  /** Handles another VM's report as the coordinator. */
  receiveReport(from: number, entries: readonly (readonly [string, ReportEntry])[]): void {
    const { network, index, peers } = this.parts;
    const shares = entries.map(([name, entry]) => [name, this.recordUse(name, entry)] as const);
    network.send(index, from, FRAME_BYTES + ENTRY_BYTES * shares.length, () =>
      (peers[from] as QuotaReportVm).receiveShares(index, shares),
    );
  }

  /** Applies a coordinator's answer. */
  receiveShares(from: number, shares: readonly (readonly [string, number])[]): void {
    this.unansweredSince.delete(from);
    for (const [organisation, share] of shares) this.shares.set(organisation, share);
  }

  /** Records what a VM passed on; returns the share of requests to pass on. @internal */
  private recordUse(organisation: string, { passed, offered }: ReportEntry): number {
    const now = this.parts.clock.now();
    const quota = this.quotas.get(organisation);
    if (quota === undefined) return 1;
    const config = { perSecond: quota.ratePerSecond, burst: quota.burst + 10 };
    for (let i = 0; i < passed; i++) this.buckets.take(organisation, config, now);
    const tokens = this.buckets.getTokens(organisation, config, now);
    const load = this.offered.get(organisation) ?? { perSecond: 0, at: now };
    load.perSecond *= Math.exp((load.at - now) / OFFERED_MS);
    load.perSecond += (offered * 1_000) / OFFERED_MS;
    load.at = now;
    this.offered.set(organisation, load);
    if (tokens >= config.burst * BINDING_SHARE) return 1;
    const spreadable = config.perSecond + (tokens * 1_000) / SPREAD_MS;
    return Math.min(1, Math.max(0, spreadable / load.perSecond));
  }
}
