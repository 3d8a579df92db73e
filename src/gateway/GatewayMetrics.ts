import type {
  AdmissionFigures,
  EvidenceKind,
  SlowdownEstimates,
  LogEffect,
  RolloutStats,
  TargetStanding,
} from '../balancing/index.js';
import { TARGET_STANDINGS } from '../balancing/index.js';
import type { PrometheusMetrics } from './createGauges.js';
import {
  createAdmissionGauges,
  createEvidenceCounter,
  createQuotaGauges,
  createRolloutGauges,
  createTargetGauges,
} from './createGauges.js';

/** Observations buffered until prom-client is loaded; beyond that the oldest are discarded. */
const MAX_EARLY_OBSERVATIONS = 2_000;

/**
 * Bucket bounds of the latency histogram, in seconds: from a fast answer up to the longest timeout.
 */
const LATENCY_BUCKETS_S = [0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10];

/** Organisations that have time series of their own; there may be thousands. */
const MAX_NAMED_ORGANISATIONS = 20;

/** Name of the time series of all other organisations. */
const OTHER_ORGANISATIONS = 'other';

const MS_PER_SECOND = 1_000;

interface Observation {
  readonly seconds: number;
  readonly route: string;
}

/** Requests of an organisation that has a quota. */
export interface QuotaFigures {
  /** Requests since the process started. */
  readonly granted: number;
  readonly refused: number;
  /** Limit for all entry VMs together. */
  readonly perSecond: number;
}

/** Use of the memory for bodies, in bytes. */
export interface BodyMemoryFigures {
  readonly reservedBytes: number;
  readonly limitBytes: number;
}

/** Values that other components count themselves; read on each scrape. */
export interface MetricSources {
  /** Store calls so far, by `METHOD section`. */
  getStoreCallCounts(): ReadonlyMap<string, number>;
  /** Probes sent so far. */
  getProbeCount(): number;
  /** Number of targets in each standing, by service. */
  getTargetCounts(): ReadonlyMap<string, Readonly<Record<TargetStanding, number>>>;
  /** Time until the last paused target accepts requests again, in milliseconds, by service. */
  getLongestPauses(): ReadonlyMap<string, number>;
  /** Learnt slowdown curve of the targets, by service. */
  getLearntCurves(): ReadonlyMap<string, SlowdownEstimates>;
  /** State of the rollouts known to this VM, by service. */
  getRolloutFigures(): ReadonlyMap<string, RolloutStats>;
  /** Requests of the organisations that have quotas, by name. */
  getQuotaFigures(): ReadonlyMap<string, QuotaFigures>;
  /** State of the services whose requests differ in priority, by name. */
  getAdmissionFigures(): ReadonlyMap<string, AdmissionFigures>;
  /** Monotonic time, in milliseconds. */
  now(): number;
  /** Age of the last confirmed view of the store, in milliseconds; infinite until the first. */
  getStoreAgeMs(): number;
  /** Number of requests whose answers have not been sent completely. */
  getOpenRequestCount(): number;
  /** Memory for bodies of requests and answers. */
  getBodyMemory(): BodyMemoryFigures;
  /** Messages sent so far to the VMs that follow this one. */
  getFeedMessageCount(): number;
}

async function loadMetrics(): Promise<PrometheusMetrics> {
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
      buckets: LATENCY_BUCKETS_S,
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
    storeAge: new prom.Gauge({
      name: 'masticlink_gateway_store_age_seconds',
      help: 'Time since the store’s word on configuration and targets was last confirmed.',
      registers,
    }),
    requests: new prom.Gauge({
      name: 'masticlink_gateway_requests',
      help: 'Requests whose answers have not been sent completely.',
      registers,
    }),
    bodyMemory: new prom.Gauge({
      name: 'masticlink_gateway_body_memory_bytes',
      help: 'Memory for bodies of requests and answers: what is reserved, and the limit.',
      labelNames: ['kind'],
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
    refusalsAfterSending: createEvidenceCounter(prom, registers),
    ...createTargetGauges(prom, registers),
    ...createRolloutGauges(prom, registers),
    ...createQuotaGauges(prom, registers),
    ...createAdmissionGauges(prom, registers),
  };
}

/**
 * Prometheus metrics of the gateway. Loading prom-client takes about 20 ms, too long for a restart
 * on half a core, so it is loaded on the first scrape. Counts and observations made before that are
 * kept.
 */
export class GatewayMetrics {
  /** @internal */
  private readonly counts = new Map<string, number>();

  /** Refusals after a sending, by kind of evidence. @internal */
  private readonly refusalsAfterSending = new Map<EvidenceKind, number>();

  /** @internal */
  private earlyObservations: Observation[] = [];

  /** @internal */
  private promMetrics: Promise<PrometheusMetrics> | undefined;

  /** Granted requests of organisations at the last scrape. @internal */
  private lastQuotas: { readonly at: number; readonly granted: ReadonlyMap<string, number> } = {
    at: 0,
    granted: new Map(),
  };

  /** @param sources - Values that other components count. */
  constructor(private readonly sources: MetricSources) {}

  /**
   * Counts a balancer event; for an answered request also records its latency.
   * @param effect - The log effect of the event.
   */
  record({ event, fields, evidence = [] }: LogEffect): void {
    const reason = typeof fields.reason === 'string' ? fields.reason : '';
    const key = `${event} ${reason}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    for (const kind of evidence) {
      this.refusalsAfterSending.set(kind, (this.refusalsAfterSending.get(kind) ?? 0) + 1);
    }
    if (event !== 'request.answered') return;
    this.earlyObservations.push({
      seconds: Number(fields.tookMs) / MS_PER_SECOND,
      route: String(fields.route),
    });
    if (this.earlyObservations.length > MAX_EARLY_OBSERVATIONS) this.earlyObservations.shift();
  }

  /** Returns all metrics in text format, with the content type. */
  async read(): Promise<{ readonly type: string; readonly text: string }> {
    this.promMetrics ??= loadMetrics();
    const promMetrics = await this.promMetrics;
    this.updateCounts(promMetrics);
    this.updateGauges(promMetrics);
    this.updateLearntCurves(promMetrics);
    this.updateRollouts(promMetrics);
    this.updateQuotas(promMetrics);
    this.updateAdmission(promMetrics);
    const { registry } = promMetrics;
    return { type: registry.contentType, text: await registry.metrics() };
  }

  /** @internal */
  private updateCounts({
    answers,
    events,
    refusalsAfterSending,
    storeCalls,
    probes,
    feedMessages,
  }: PrometheusMetrics): void {
    for (const { seconds, route } of this.earlyObservations) answers.observe({ route }, seconds);
    this.earlyObservations = [];
    events.reset();
    for (const [key, count] of this.counts) {
      const [event, reason] = key.split(' ');
      events.inc({ event, reason }, count);
    }
    refusalsAfterSending.reset();
    for (const [evidence, count] of this.refusalsAfterSending) {
      refusalsAfterSending.inc({ evidence }, count);
    }
    storeCalls.reset();
    for (const [key, count] of this.sources.getStoreCallCounts()) {
      const [method, section] = key.split(' ');
      storeCalls.inc({ method, section }, count);
    }
    probes.reset();
    probes.inc(this.sources.getProbeCount());
    feedMessages.reset();
    feedMessages.inc(this.sources.getFeedMessageCount());
  }

  /** @internal */
  private updateLearntCurves({ learntSlowdown, learntWeight }: PrometheusMetrics): void {
    learntSlowdown.reset();
    learntWeight.reset();
    for (const [service, { levels, slowdownWeight }] of this.sources.getLearntCurves()) {
      levels.forEach((level, i) => learntSlowdown.set({ service, eighth: i + 1 }, level));
      learntWeight.set({ service }, slowdownWeight);
    }
  }

  /** @internal */
  private updateRollouts({ rolloutShare, rolloutAnswers }: PrometheusMetrics): void {
    rolloutShare.reset();
    rolloutAnswers.reset();
    for (const [service, { version, stage, share, counts }] of this.sources.getRolloutFigures()) {
      rolloutShare.set({ service, version, stage }, share);
      for (const [targets, { answers, bad }] of Object.entries(counts)) {
        rolloutAnswers.set({ service, targets, outcome: 'good' }, answers - bad);
        rolloutAnswers.set({ service, targets, outcome: 'bad' }, bad);
      }
    }
  }

  /** @internal */
  private updateAdmission({ admissionRaised, reservedSlots }: PrometheusMetrics): void {
    admissionRaised.reset();
    reservedSlots.reset();
    for (const [service, figures] of this.sources.getAdmissionFigures()) {
      admissionRaised.set({ service }, figures.level === 'raised' ? 1 : 0);
      reservedSlots.set({ service }, figures.reservedSlots);
    }
  }

  /** @internal */
  private updateQuotas({ quotaRequests, quotaPerSecond, quotaUse }: PrometheusMetrics): void {
    quotaRequests.reset();
    quotaPerSecond.reset();
    quotaUse.reset();
    const figures = [...this.sources.getQuotaFigures()].sort(
      ([, a], [, b]) => b.granted + b.refused - a.granted - a.refused,
    );
    const now = this.sources.now();
    const seconds = (now - this.lastQuotas.at) / MS_PER_SECOND;
    figures.forEach(([name, { granted, refused, perSecond }], i) => {
      const isNamed = i < MAX_NAMED_ORGANISATIONS;
      const organisation = isNamed ? name : OTHER_ORGANISATIONS;
      quotaRequests.inc({ organisation, outcome: 'granted' }, granted);
      quotaRequests.inc({ organisation, outcome: 'refused' }, refused);
      if (!isNamed) return;
      quotaPerSecond.set({ organisation }, perSecond);
      const newlyGranted = granted - (this.lastQuotas.granted.get(name) ?? 0);
      if (seconds > 0) quotaUse.set({ organisation }, newlyGranted / seconds / perSecond);
    });
    this.lastQuotas = {
      at: now,
      granted: new Map(figures.map(([name, { granted }]) => [name, granted])),
    };
  }

  /** @internal */
  private updateGauges(metrics: PrometheusMetrics): void {
    const { targets, longestPause, storeAge, requests, bodyMemory } = metrics;
    longestPause.reset();
    for (const [service, ms] of this.sources.getLongestPauses()) {
      longestPause.set({ service }, ms / MS_PER_SECOND);
    }
    targets.reset();
    for (const [service, counts] of this.sources.getTargetCounts()) {
      for (const standing of TARGET_STANDINGS) {
        targets.set({ service, standing }, counts[standing]);
      }
    }
    storeAge.set(this.sources.getStoreAgeMs() / MS_PER_SECOND);
    requests.set(this.sources.getOpenRequestCount());
    const { reservedBytes, limitBytes } = this.sources.getBodyMemory();
    bodyMemory.set({ kind: 'reserved' }, reservedBytes);
    bodyMemory.set({ kind: 'limit' }, limitBytes);
  }
}
