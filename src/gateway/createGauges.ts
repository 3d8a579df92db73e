import type { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** The metrics of a gateway. */
export interface PrometheusMetrics {
  readonly registry: Registry;
  readonly events: Counter;
  readonly refusalsAfterSending: Counter;
  readonly answers: Histogram;
  readonly storeCalls: Counter;
  readonly probes: Counter;
  readonly targets: Gauge;
  readonly longestPause: Gauge;
  readonly storeAge: Gauge;
  readonly requests: Gauge;
  readonly bodyMemory: Gauge;
  readonly feedMessages: Counter;
  readonly learntSlowdown: Gauge;
  readonly learntWeight: Gauge;
  readonly rolloutShare: Gauge;
  readonly rolloutAnswers: Gauge;
  readonly quotaRequests: Counter;
  readonly quotaPerSecond: Gauge;
  readonly quotaUse: Gauge;
  readonly admissionRaised: Gauge;
  readonly reservedSlots: Gauge;
}

type Prom = typeof import('prom-client');

/** Creates the counter of refusals by the evidence that the request has not run. */
export function createEvidenceCounter(prom: Prom, registers: Registry[]): Counter {
  return new prom.Counter({
    name: 'masticlink_gateway_refusals_after_sending_total',
    help: 'Refused requests that had been sent, by why they have certainly not run.',
    labelNames: ['evidence'],
    registers,
  });
}

/** Creates the metrics of targets. */
export function createTargetGauges(
  prom: Prom,
  registers: Registry[],
): Pick<PrometheusMetrics, 'targets' | 'longestPause'> {
  return {
    targets: new prom.Gauge({
      name: 'masticlink_gateway_targets',
      help: 'Targets of a service by how they stand for this VM.',
      labelNames: ['service', 'standing'],
      registers,
    }),
    longestPause: new prom.Gauge({
      name: 'masticlink_gateway_pause_seconds',
      help: 'Time until the last of a service’s paused targets accepts requests from this VM again.',
      labelNames: ['service'],
      registers,
    }),
  };
}

/** Creates the metrics of rollouts. */
export function createRolloutGauges(
  prom: Prom,
  registers: Registry[],
): Pick<PrometheusMetrics, 'rolloutShare' | 'rolloutAnswers'> {
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

/** Creates the metrics of quotas. */
export function createQuotaGauges(
  prom: Prom,
  registers: Registry[],
): Pick<PrometheusMetrics, 'quotaRequests' | 'quotaPerSecond' | 'quotaUse'> {
  return {
    quotaRequests: new prom.Counter({
      name: 'masticlink_gateway_quota_requests_total',
      help: 'Requests of an organisation since the process started, by what its quota decided.',
      labelNames: ['organisation', 'outcome'],
      registers,
    }),
    quotaPerSecond: new prom.Gauge({
      name: 'masticlink_gateway_quota_per_second',
      help: 'Limit on an organisation’s requests per second, all entry VMs together.',
      labelNames: ['organisation'],
      registers,
    }),
    quotaUse: new prom.Gauge({
      name: 'masticlink_gateway_quota_use',
      help: 'This VM’s part of the use of an organisation’s limit since the last scrape.',
      labelNames: ['organisation'],
      registers,
    }),
  };
}

/** Creates the metrics of admission by priority. */
export function createAdmissionGauges(
  prom: Prom,
  registers: Registry[],
): Pick<PrometheusMetrics, 'admissionRaised' | 'reservedSlots'> {
  return {
    admissionRaised: new prom.Gauge({
      name: 'masticlink_gateway_admission_raised',
      help: 'Whether requests of a service are late or refused at this VM, 1 or 0.',
      labelNames: ['service'],
      registers,
    }),
    reservedSlots: new prom.Gauge({
      name: 'masticlink_gateway_reserved_slots',
      help: 'Mean slots of each target that the least urgent requests leave free, of three useful ones.',
      labelNames: ['service'],
      registers,
    }),
  };
}
