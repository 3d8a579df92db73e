import type { Quota } from '../balancing/index.js';
import { getOwners, TokenBuckets } from '../limits/index.js';
import { VirtualClock } from '../proof/VirtualClock.js';
import { DEFAULT_QUOTA_BOUND } from '../quotas/index.js';
import { createRandom } from '../standIns/models/index.js';
import { QuotaNetwork } from './QuotaNetwork.js';
import { QuotaPermitVm } from './QuotaPermitVm.js';
import type { QuotaLabPlan } from './quotaPlan.js';
import { QuotaReportVm } from './QuotaReportVm.js';
import type { QuotaVm } from './QuotaScheme.js';

/** Ways to enforce quotas that can be compared. */
export type QuotaSchemeName = 'permits' | 'reports';

/** Result of one run. */
export interface QuotaLabResult {
  readonly requests: number;
  /** Requests refused at VMs that were not cut off, as a share. */
  readonly refused: number;
  /** Requests refused although their organisation never exceeded rate and burst, as a share. */
  readonly refusedBelow: number;
  /** Requests refused of those that arrived at VMs which were cut off, as a share. */
  readonly refusedCutOff: number;
  /** The same for organisations of less than two requests a second. */
  readonly refusedBelowSmall: number;
  /** Requests that the organisations over their limits lacked of it, as a share of it. */
  readonly shortfall: number;
  /** Requests over the bound in the worst window of any organisation; negative if it held. */
  readonly worstExcess: number;
  readonly messagesPerVmSecond: number;
  readonly bytesPerVmSecond: number;
  /** Time from arrival until a request was sent, in milliseconds. */
  readonly meanWaitMs: number;
  /** The same for one request in a thousand. */
  readonly longWaitMs: number;
}

/** Time until VMs know of an outage and of its end, in milliseconds. */
const DETECTION_MS = 2_400;
const RECOVERY_MS = 300;

const SMALL_PER_SECOND = 2;

const LONG_WAIT_QUANTILE = 0.999;

interface Organisation {
  readonly name: string;
  readonly perSecond: number;
  readonly quota: Quota;
  readonly arrivedAt: number[];
  /** Requests that are counted, and those of them that were refused. */
  arrived: number;
  readonly ranAt: number[];
  refused: number;
}

function makeOrganisations(plan: QuotaLabPlan): Organisation[] {
  const weights = Array.from({ length: plan.organisations }, (_, i) => (i + 1) ** -plan.exponent);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight, i) => {
    const perSecond = (plan.perSecond * weight) / total;
    const ratePerSecond = perSecond * plan.limitFactor;
    const quota = { ratePerSecond, burst: Math.ceil(ratePerSecond * plan.burstSeconds) };
    return {
      name: `o-${i + 1}`,
      perSecond,
      quota,
      arrivedAt: [],
      ranAt: [],
      arrived: 0,
      refused: 0,
    };
  });
}

function getQuotas(
  plan: QuotaLabPlan,
  organisations: readonly Organisation[],
  at: number,
): Map<string, Quota> {
  const { organisation: loweredIndex, fromMs, factor } = plan.lowered;
  return new Map(
    organisations.map(({ name, quota: { ratePerSecond, burst } }, i) => {
      const share = i === loweredIndex && at >= fromMs ? factor : 1;
      return [name, { ratePerSecond: ratePerSecond * share, burst: burst * share }];
    }),
  );
}

/** Requests of one organisation over the bound, in its worst window. */
function getExcess(
  plan: QuotaLabPlan,
  organisations: readonly Organisation[],
  { name, ranAt }: Organisation,
): number {
  const { windowMs, overage, slack } = DEFAULT_QUOTA_BOUND;
  let first = 0;
  const excesses = ranAt.map((at, i) => {
    while (ranAt[first] <= at - windowMs) first += 1;
    // A lowered limit binds the windows that begin after it has come into force.
    const quota = getQuotas(plan, organisations, at - windowMs).get(name) as Quota;
    const allowed = ((quota.ratePerSecond * windowMs) / 1_000 + quota.burst) * (1 + overage);
    return i + 1 - first - allowed - slack;
  });
  return excesses.reduce((worst, each) => Math.max(worst, each), Number.NEGATIVE_INFINITY);
}

/** Requests of an organisation that one token bucket of its rate and burst lets pass. */
function countWithinQuota(
  plan: QuotaLabPlan,
  organisations: readonly Organisation[],
  { name, arrivedAt }: Organisation,
): number {
  const buckets = new TokenBuckets(Number.POSITIVE_INFINITY);
  let passed = 0;
  for (const at of arrivedAt) {
    const quota = getQuotas(plan, organisations, at).get(name) as Quota;
    const config = { perSecond: quota.ratePerSecond, burst: Math.max(1, quota.burst) };
    if (buckets.getTokens(name, config, at) >= 1) {
      buckets.take(name, config, at);
      if (at >= plan.countFromMs) passed += 1;
    }
  }
  return passed;
}

function scheduleFaults(
  plan: QuotaLabPlan,
  organisations: readonly Organisation[],
  vms: readonly QuotaVm[],
  names: readonly string[],
  network: QuotaNetwork,
  clock: VirtualClock,
): ReadonlySet<number> {
  const { cutOff, killed, lowered, surge } = plan;
  const down = new Set<number>();
  const announce = (): void =>
    vms.forEach((vm, i) =>
      vm.updateLiveVms(
        names.filter((_, j) => i === j || (!network.cut.has(i) && !network.cut.has(j))),
      ),
    );
  const schedule = (
    indexes: readonly number[],
    isDown: boolean,
    from: number,
    until: number,
  ): void => {
    if (from === Number.POSITIVE_INFINITY) return;
    clock.after(from, () => {
      indexes.forEach((i) => network.cut.add(i));
      if (isDown) indexes.forEach((i) => down.add(i));
    });
    clock.after(from + DETECTION_MS, announce);
    clock.after(until, () => {
      indexes.forEach((i) => {
        network.cut.delete(i);
        down.delete(i);
        if (isDown) vms[i].start();
      });
    });
    clock.after(until + RECOVERY_MS, announce);
  };
  const cutCount = Math.round(vms.length * cutOff.share);
  const cutIndexes = names.map((_, i) => i).slice(0, cutCount);
  schedule(cutIndexes, false, cutOff.fromMs, cutOff.untilMs);
  const [issuer] = getOwners(organisations[surge.organisation].name, names, 1);
  schedule([names.indexOf(issuer)], true, killed.fromMs, killed.untilMs);
  if (lowered.fromMs < Number.POSITIVE_INFINITY) {
    clock.after(lowered.fromMs, () =>
      vms.forEach((vm) => vm.configure(getQuotas(plan, organisations, clock.now()))),
    );
  }
  return down;
}

/** Plans Poisson arrivals of all organisations. */
function scheduleArrivals(
  plan: QuotaLabPlan,
  organisations: readonly Organisation[],
  clock: VirtualClock,
  draw: () => number,
  arrive: (organisation: Organisation) => void,
): void {
  organisations.forEach((organisation, i) => {
    const { surge } = plan;
    const schedule = (): void => {
      const isSurge =
        i === surge.organisation && clock.now() >= surge.fromMs && clock.now() < surge.untilMs;
      const perSecond = organisation.perSecond * (isSurge ? surge.factor : 1);
      clock.after((-Math.log(1 - draw()) * 1_000) / perSecond, () => {
        if (clock.now() < plan.untilMs) {
          arrive(organisation);
          schedule();
        }
      });
    };
    schedule();
  });
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Refused requests of organisations, as a share of their requests. */
function getRefused(organisations: readonly Organisation[]): number {
  const refused = organisations.reduce((sum, each) => sum + each.refused, 0);
  const arrived = organisations.reduce((sum, each) => sum + each.arrived, 0);
  return arrived === 0 ? 0 : refused / arrived;
}

/** Adds up refusals of organisations that never exceeded their quota, as a share of requests. */
function getRefusedBelow(
  organisations: readonly { readonly organisation: Organisation; readonly isBelow: boolean }[],
  isCounted: (organisation: Organisation) => boolean,
): number {
  const counted = organisations
    .filter(({ organisation, isBelow }) => isBelow && isCounted(organisation))
    .map(({ organisation }) => organisation);
  return getRefused(counted);
}

/**
 * Simulates many VMs that enforce quotas, in virtual time. Arrivals depend on the seed alone, so that
 * all schemes get the same load.
 * @param plan - Organisations, load and faults.
 * @param scheme - Way to enforce quotas.
 * @param seed - Seed of the random numbers; `seed + 1` is used too.
 * @example
 * const { worstExcess } = playQuotaLab(makeQuotaPlan(), 'permits', 1);
 */
export function playQuotaLab(
  plan: QuotaLabPlan,
  scheme: QuotaSchemeName,
  seed: number,
): QuotaLabResult {
  const clock = new VirtualClock();
  const draw = createRandom(seed);
  const random = createRandom(seed + 1);
  const network = new QuotaNetwork(clock, plan.delayMs);
  const names = Array.from({ length: plan.vms }, (_, i) => `vm-${i + 1}`);
  const organisations = makeOrganisations(plan);
  const vms: QuotaVm[] = [];
  const { rejectShare } = plan;
  names.forEach((_, index) => {
    const parts = { index, names, clock, network, peers: vms, rejectShare, random };
    vms.push(scheme === 'permits' ? new QuotaPermitVm(parts) : new QuotaReportVm(parts));
  });
  for (const vm of vms) vm.configure(getQuotas(plan, organisations, 0));
  const down = scheduleFaults(plan, organisations, vms, names, network, clock);
  const waits: number[] = [];
  const cutOff = { arrived: 0, refused: 0 };
  const arrive = (organisation: Organisation): void => {
    let to = Math.floor(draw() * vms.length);
    while (down.has(to)) to = Math.floor(draw() * vms.length);
    const at = clock.now();
    organisation.arrivedAt.push(at);
    const isCutOff = network.cut.has(to);
    const isCounted = at >= plan.countFromMs && !isCutOff;
    if (isCutOff) cutOff.arrived += 1;
    if (isCounted) organisation.arrived += 1;
    vms[to].arrive(organisation.name, {
      onSent: () => waits.push(clock.now() - at),
      onRun: () => organisation.ranAt.push(clock.now()),
      onRefused: () => {
        if (isCounted) organisation.refused += 1;
        if (isCutOff) cutOff.refused += 1;
      },
    });
  };
  scheduleArrivals(plan, organisations, clock, draw, arrive);
  clock.runUntil(plan.untilMs + 2_000);
  const judged = organisations.map((organisation) => {
    const within = countWithinQuota(plan, organisations, organisation);
    return { organisation, within, isBelow: within === organisation.arrived };
  });
  const over = judged.filter(({ isBelow }) => !isBelow);
  const lacking = over.map(
    ({ organisation, within }) =>
      Math.max(0, within - (organisation.arrived - organisation.refused)) / within,
  );
  waits.sort((a, b) => a - b);
  const vmSeconds = (plan.vms * plan.untilMs) / 1_000;
  return {
    requests: organisations.reduce((sum, { arrivedAt }) => sum + arrivedAt.length, 0),
    refused: getRefused(organisations),
    refusedBelow: getRefusedBelow(judged, () => true),
    refusedBelowSmall: getRefusedBelow(judged, ({ perSecond }) => perSecond < SMALL_PER_SECOND),
    shortfall: getMean(lacking),
    worstExcess: Math.max(...organisations.map((each) => getExcess(plan, organisations, each))),
    refusedCutOff: cutOff.refused / Math.max(1, cutOff.arrived),
    messagesPerVmSecond: network.messages / vmSeconds,
    bytesPerVmSecond: network.bytes / vmSeconds,
    meanWaitMs: getMean(waits),
    longWaitMs: waits[Math.floor(waits.length * LONG_WAIT_QUANTILE)] ?? 0,
  };
}
