import type { TargetConfig } from '../../core/index.js';
import type { TargetStart } from '../../standIns/models/index.js';
import type { Observation } from '../observations.js';
import type { CheckerContext, PromiseChecker } from './PromiseChecker.js';

/** Work may still reach a zone or target this long after it was taken out, in milliseconds. */
export const OUT_LIMIT_MS = 2_000;

/** Time for what was sent in time to open a connection and to arrive. */
const TRANSIT_MS = 100;

/** A target that turns cold on its own can't be known to be so before it was sent something. */
const SILENT_COLD_GRACE_MS = 1_000;

/** Burst of probes that a budget allows: a second's worth and two probes. */
const BURST_MS = 1_000;

interface ProbeBucket {
  level: number;
  at: number;
}

/** Cold targets, zones taken out, leaving targets, and the budget of probes. */
export class TargetsChecker implements PromiseChecker {
  /** @internal */
  private readonly outSince = new Map<string, number>();

  /** @internal */
  private readonly configs = new Map<string, TargetConfig>();

  /** @internal */
  private readonly buckets = new Map<string, ProbeBucket>();

  /** @param context - Where to look and report. */
  constructor(private readonly context: CheckerContext) {
    for (const service of context.fleet.options.services) {
      for (const target of service.targets) this.configs.set(target.id, target);
    }
  }

  see(observation: Observation, at: number): void {
    if (observation.kind === 'targetStarted') {
      if (observation.start.request.isProbe) this.seeProbe(observation.start, at);
      else this.seeWork(observation.start, at);
    } else if (observation.kind === 'targetFellOver') {
      this.seeFall(observation.target, at);
    } else if (observation.kind === 'accepted') {
      for (const zone of observation.root.zones) {
        if (zone.state === 'in') this.outSince.delete(zone.name);
        else if (!this.outSince.has(zone.name)) this.outSince.set(zone.name, at);
      }
    }
  }

  /** @internal */
  private seeWork(start: TargetStart, at: number): void {
    const { fleet, report } = this.context;
    const config = this.configs.get(start.target);
    if (config === undefined) return;
    const outAt = this.outSince.get(config.zone);
    if (outAt !== undefined && at > outAt + OUT_LIMIT_MS + TRANSIT_MS) {
      const late = Math.round(at - outAt);
      report('zone-out', at, `${start.target} got work ${late} ms after its zone was out`);
    }
    const shownAt = fleet.leavingShownAt.get(start.target);
    if (shownAt !== undefined && at > shownAt + OUT_LIMIT_MS + TRANSIT_MS) {
      const late = Math.round(at - shownAt);
      report('leaving-targets', at, `${start.target} got work ${late} ms after it was leaving`);
    }
  }

  /** @internal */
  private seeFall(target: string, at: number): void {
    const { fleet, report } = this.context;
    const silentAt = fleet.silentColdAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (at < silentAt + SILENT_COLD_GRACE_MS) return;
    report('cold-targets', at, `${target} was given more than it bore and fell over`);
  }

  /** @internal */
  private seeProbe(start: TargetStart, at: number): void {
    const { fleet, report } = this.context;
    const config = this.configs.get(start.target);
    const service = fleet.options.services.find(({ name }) => name === config?.service);
    if (service === undefined) return;
    const { budgetShare, costMs } = service.probe;
    const perMs = budgetShare * service.capacity.slots;
    const most = perMs * BURST_MS + 2 * costMs;
    const bucket = this.buckets.get(start.target) ?? { level: most, at };
    bucket.level = Math.min(most, bucket.level + (at - bucket.at) * perMs) - costMs;
    bucket.at = at;
    this.buckets.set(start.target, bucket);
    if (bucket.level < 0) {
      report('measuring-budget', at, `${start.target} was probed beyond its budget`);
    }
  }
}
