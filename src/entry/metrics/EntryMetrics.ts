import { Gauge, Registry } from 'prom-client';

import type { EntryState, MetricName } from '../../core/index.js';
import { CoreCounter } from './CoreCounter.js';
import { LatencyHistogram } from './LatencyHistogram.js';

const MS_PER_SECOND = 1_000;

/** Help texts and labels of the counters that the core increments. */
const CORE_COUNTERS: Record<MetricName, { readonly help: string; readonly labels: string[] }> = {
  masticlink_requests_total: {
    help: 'Requests that ended, by service and outcome.',
    labels: ['service', 'outcome', 'code', 'zone', 'status'],
  },
  masticlink_attempts_total: {
    help: 'Sendings to targets and peers, by how they ended.',
    labels: ['service', 'to', 'end', 'zone', 'target'],
  },
  masticlink_retries_total: { help: 'Sendings after the first.', labels: ['service', 'reason'] },
  masticlink_hedges_total: {
    help: 'Second sendings of slow requests.',
    labels: ['service', 'won'],
  },
  masticlink_probes_total: { help: 'Probes of targets.', labels: ['service', 'end', 'target'] },
  masticlink_store_calls_total: {
    help: 'Calls to the platform store.',
    labels: ['op', 'class', 'result', 'purpose'],
  },
  masticlink_target_cold_total: {
    help: 'Times that a target was taken to be cold.',
    labels: ['service', 'reason', 'target'],
  },
  masticlink_crash_suspects_total: {
    help: 'Request shapes that were outstanding when targets died.',
    labels: ['service'],
  },
};

/**
 * The metrics of one process. They have a registry of their own instead of prom-client's global
 * one, since tests run several processes in one Node.js process.
 */
export class EntryMetrics {
  readonly registry = new Registry();

  /** @internal */
  private readonly counters = new Map<MetricName, CoreCounter>();

  /** @internal */
  private readonly requestLatency: LatencyHistogram;

  /** @internal */
  private readonly attemptLatency: LatencyHistogram;

  /**
   * @param state - The process's state; read on each scrape.
   * @param now - Gives the current time in monotonic milliseconds.
   */
  constructor(
    private readonly state: EntryState,
    private readonly now: () => number,
  ) {
    const registers = [this.registry];
    for (const [name, { help, labels }] of Object.entries(CORE_COUNTERS)) {
      this.counters.set(name as MetricName, new CoreCounter({ name, help, labels, registers }));
    }
    this.requestLatency = new LatencyHistogram({
      name: 'masticlink_request_duration_seconds',
      help: "Time from a request's head to the end of its answer.",
      label: 'service',
      registers,
    });
    this.attemptLatency = new LatencyHistogram({
      name: 'masticlink_attempt_duration_seconds',
      help: 'Time of one sending to a target or peer.',
      label: 'to',
      registers,
    });
    this.addGauges(registers);
  }

  /**
   * Increments one of the core's counters. Labels that the counter doesn't declare are ignored.
   * @param metric - Name of the counter.
   * @param labels - Label values by label name.
   * @param by - The increment.
   */
  count(metric: MetricName, labels: Readonly<Record<string, string>>, by: number): void {
    this.counters.get(metric)?.add(labels, by);
  }

  /**
   * Records the duration of a request that ended.
   * @param service - Name of a configured service, so that the number of label values is bounded.
   * @param milliseconds - Time from the request's head to the end of its answer.
   */
  observeRequest(service: string, milliseconds: number): void {
    this.requestLatency.observeMs(service, milliseconds);
  }

  /**
   * Records the duration of an attempt that ended.
   * @param to - Whether the attempt went to a target or to a peer.
   * @param milliseconds - Duration of the attempt.
   */
  observeAttempt(to: 'target' | 'peer', milliseconds: number): void {
    this.attemptLatency.observeMs(to, milliseconds);
  }

  /** @internal */
  private addGauges(registers: Registry[]): void {
    const { state } = this;
    const gauges: Record<string, readonly [string, () => number]> = {
      masticlink_requests: ['Requests at this process now.', () => state.requests.requests.size],
      masticlink_attempts: ['Sendings that are out now.', () => state.requests.attempts.size],
      masticlink_assignment_epoch: [
        'Epoch of the assignment that this process acts under.',
        () => state.fleet.assignment.epoch,
      ],
      masticlink_fleet_members: [
        'Members of that epoch.',
        () => state.fleet.assignment.members.length,
      ],
      masticlink_partitions: [
        'Partitions that this process drives.',
        () => state.fleet.granted.size,
      ],
      masticlink_configuration_generation: [
        'Generation of the configuration in force here.',
        () => state.configuration.current.generation,
      ],
      masticlink_lease_remaining_seconds: [
        'Time until this process stops sending unless its lease is renewed.',
        () => Math.max(0, state.fleet.leaseEnd - this.now()) / MS_PER_SECOND,
      ],
      masticlink_configuration_confirmed_age_seconds: [
        'Age of the last word that the configuration in force is the latest.',
        () => (this.now() - state.configuration.confirmedAt) / MS_PER_SECOND,
      ],
      masticlink_queue_length: [
        'Requests that wait for a free slot.',
        () =>
          [...state.requests.traffic.values()].reduce((sum, { queue }) => sum + queue.length, 0),
      ],
      masticlink_store_calls_outstanding: [
        'Calls to the store that are out.',
        () => state.storeCalls.outstanding.size,
      ],
    };
    for (const [name, [help, read]] of Object.entries(gauges)) {
      const gauge: Gauge = new Gauge({
        name,
        help,
        registers,
        collect: () => gauge.set(read()),
      });
    }
    this.addTargetGauges(registers);
  }

  /** @internal */
  private addTargetGauges(registers: Registry[]): void {
    const { state } = this;
    const limit: Gauge<'target'> = new Gauge({
      name: 'masticlink_target_limit',
      help: 'Requests that this process may have outstanding at a target that it drives.',
      labelNames: ['target'],
      registers,
      collect: () => {
        limit.reset();
        for (const record of state.targets.records.values()) {
          limit.set({ target: record.config.id }, record.limit);
        }
      },
    });
    const outstanding: Gauge<'target'> = new Gauge({
      name: 'masticlink_target_outstanding',
      help: 'Requests outstanding at a target that this process drives.',
      labelNames: ['target'],
      registers,
      collect: () => {
        outstanding.reset();
        for (const record of state.targets.records.values()) {
          outstanding.set({ target: record.config.id }, record.outstanding.size);
        }
      },
    });
  }
}
