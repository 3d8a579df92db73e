import type { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { LearntCurve, LogEffect, RolloutFigures, TargetStanding } from '../balancing/index.js';
import { TARGET_STANDINGS } from '../balancing/index.js';

/** Observations kept until the library is loaded; later ones push out the oldest. */
const MOST_EARLY = 2_000;

/** Bounds of the latency histogram, in seconds: from a fast answer to the longest time allowed. */
const BUCKETS_S = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10];

const MS_PER_SECOND = 1_000;

interface Loaded {
  readonly registry: Registry;
  readonly events: Counter;
  readonly answers: Histogram;
  readonly storeCalls: Counter;
  readonly probes: Counter;
  readonly targets: Gauge;
  readonly storeAge: Gauge;
  readonly requests: Gauge;
  readonly feedMessages: Counter;
  readonly learntSlowdown: Gauge;
  readonly learntWeight: Gauge;
  readonly rolloutShare: Gauge;
  readonly rolloutAnswers: Gauge;
}

interface Observation {
  readonly seconds: number;
  readonly route: string;
}

/** What other parts count themselves. */
export interface MetricSources {
  getStoreCalls(): ReadonlyMap<string, number>;
  getProbes(): number;
  /** Targets of each service by how they stand. */
  getTargets(): ReadonlyMap<string, Readonly<Record<TargetStanding, number>>>;
  /** What is learnt of each service's targets. */
  getCurves(): ReadonlyMap<string, LearntCurve>;
  /** Rollouts that this VM knows of, by service. */
  getRollouts(): ReadonlyMap<string, RolloutFigures>;
  /** Time since the store's word was last confirmed, in milliseconds. */
  getStoreAgeMs(): number;
  /** Requests that have no answer yet. */
  getRequests(): number;
  /** Messages that other VMs that follow this one were sent. */
  getFeedMessages(): number;
}

type Prom = typeof import('prom-client');

function createRolloutGauges(
  prom: Prom,
  registers: Registry[],
): Pick<Loaded, 'rolloutShare' | 'rolloutAnswers'> {
  return {
    rolloutShare: new prom.Gauge({
      name: 'masticlink_gateway_rollout_share',
      help: 'Share of a service’s requests that go to the version which is rolled out, by stage.',
      labelNames: ['service', 'version', 'stage'],
      registers,
    }),
    rolloutAnswers: new prom.Gauge({
      name: 'masticlink_gateway_rollout_answers',
      help: 'Answers that this VM counted for and against a version while it is rolled out.',
      labelNames: ['service', 'targets', 'outcome'],
      registers,
    }),
  };
}

async function loadMetrics(): Promise<Loaded> {
  const prom = await import('prom-client');
  const registry = new prom.Registry();
  const registers = [registry];
  return {
    registry,
    events: new prom.Counter({
      name: 'masticlink_gateway_events_total',
      help: 'Decisions on requests, targets and the fleet, by event and reason.',
      labelNames: ['event', 'reason'],
      registers,
    }),
    answers: new prom.Histogram({
      name: 'masticlink_gateway_answer_seconds',
      help: 'Time from a request’s head to a target’s answer.',
      labelNames: ['route'],
      buckets: BUCKETS_S,
      registers,
    }),
    storeCalls: new prom.Counter({
      name: 'masticlink_gateway_store_calls_total',
      help: 'Calls to the platform’s store.',
      labelNames: ['method', 'section'],
      registers,
    }),
    probes: new prom.Counter({
      name: 'masticlink_gateway_probes_total',
      help: 'Probes of targets.',
      registers,
    }),
    targets: new prom.Gauge({
      name: 'masticlink_gateway_targets',
      help: 'Targets of a service by how they stand for this VM.',
      labelNames: ['service', 'standing'],
      registers,
    }),
    storeAge: new prom.Gauge({
      name: 'masticlink_gateway_store_age_seconds',
      help: 'Time since the store’s word on configuration and targets was last confirmed.',
      registers,
    }),
    requests: new prom.Gauge({
      name: 'masticlink_gateway_requests',
      help: 'Requests that have no answer yet.',
      registers,
    }),
    feedMessages: new prom.Counter({
      name: 'masticlink_gateway_feed_messages_total',
      help: 'Messages sent to VMs that follow this one.',
      registers,
    }),
    learntSlowdown: new prom.Gauge({
      name: 'masticlink_gateway_learnt_slowdown',
      help: 'How many times as long work takes, by the eighth of a target’s slots that are filled.',
      labelNames: ['service', 'eighth'],
      registers,
    }),
    learntWeight: new prom.Gauge({
      name: 'masticlink_gateway_learnt_slowdown_weight',
      help: 'Part of a slowdown that was read which work then meets.',
      labelNames: ['service'],
      registers,
    }),
    ...createRolloutGauges(prom, registers),
  };
}

/**
 * Counters and histograms. The library takes some 20 ms to load, which a restart on half a core
 * can't spare, so it is loaded when metrics are first asked for; what was counted before is kept.
 */
export class GatewayMetrics {
  /** @internal */
  private readonly counts = new Map<string, number>();

  /** @internal */
  private early: Observation[] = [];

  /** @internal */
  private loaded: Promise<Loaded> | undefined;

  /** @param sources - Totals that other parts count. */
  constructor(private readonly sources: MetricSources) {}

  /**
   * Counts a decision, and the time of an answered request.
   * @param effect - The decision's log line.
   */
  note({ event, fields }: LogEffect): void {
    const reason = typeof fields.reason === 'string' ? fields.reason : '';
    const key = `${event} ${reason}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    if (event !== 'request.answered') return;
    this.early.push({
      seconds: Number(fields.tookMs) / MS_PER_SECOND,
      route: String(fields.route),
    });
    if (this.early.length > MOST_EARLY) this.early.shift();
  }

  /** All metrics as text, and the type of that text. */
  async read(): Promise<{ readonly type: string; readonly text: string }> {
    this.loaded ??= loadMetrics();
    const loaded = await this.loaded;
    this.takeCounts(loaded);
    this.takeStandings(loaded);
    this.takeLearnt(loaded);
    this.takeRollouts(loaded);
    const { registry } = loaded;
    return { type: registry.contentType, text: await registry.metrics() };
  }

  /** @internal */
  private takeCounts({ answers, events, storeCalls, probes, feedMessages }: Loaded): void {
    for (const { seconds, route } of this.early) answers.observe({ route }, seconds);
    this.early = [];
    events.reset();
    for (const [key, count] of this.counts) {
      const [event, reason] = key.split(' ');
      events.inc({ event, reason }, count);
    }
    storeCalls.reset();
    for (const [key, count] of this.sources.getStoreCalls()) {
      const [method, section] = key.split(' ');
      storeCalls.inc({ method, section }, count);
    }
    probes.reset();
    probes.inc(this.sources.getProbes());
    feedMessages.reset();
    feedMessages.inc(this.sources.getFeedMessages());
  }

  /** @internal */
  private takeLearnt({ learntSlowdown, learntWeight }: Loaded): void {
    learntSlowdown.reset();
    learntWeight.reset();
    for (const [service, { levels, slowdownWeight }] of this.sources.getCurves()) {
      levels.forEach((level, i) => learntSlowdown.set({ service, eighth: i + 1 }, level));
      learntWeight.set({ service }, slowdownWeight);
    }
  }

  /** @internal */
  private takeRollouts({ rolloutShare, rolloutAnswers }: Loaded): void {
    rolloutShare.reset();
    rolloutAnswers.reset();
    for (const [service, { version, stage, share, counts }] of this.sources.getRollouts()) {
      rolloutShare.set({ service, version, stage }, share);
      for (const [targets, { answers, bad }] of Object.entries(counts)) {
        rolloutAnswers.set({ service, targets, outcome: 'good' }, answers - bad);
        rolloutAnswers.set({ service, targets, outcome: 'bad' }, bad);
      }
    }
  }

  /** @internal */
  private takeStandings({ targets, storeAge, requests }: Loaded): void {
    targets.reset();
    for (const [service, counts] of this.sources.getTargets()) {
      for (const standing of TARGET_STANDINGS) {
        targets.set({ service, standing }, counts[standing]);
      }
    }
    storeAge.set(this.sources.getStoreAgeMs() / MS_PER_SECOND);
    requests.set(this.sources.getRequests());
  }
}
