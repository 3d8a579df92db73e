import type { ZoneName } from '../core/model/index.js';
import type { BalancerContext } from './BalancerState.js';
import type { Route } from './model.js';
import type { TargetRecord } from './TargetRecord.js';
import { getScores } from './TargetRecord.js';

/**
 * Weight with which a target of this VM's own availability zone is sampled for probes, relative to
 * other preferred targets: traffic between zones costs money and takes longer.
 */
const OWN_ZONE_PROBE_WEIGHT = 3;

/**
 * A target that always fails is sampled with 1 / (1 + this) times the weight of one that never
 * does; the second is for requests that may not run twice.
 */
const FAILURE_PENALTY = 8;
const UNREPEATABLE_FAILURE_PENALTY = 40;

/**
 * Samples targets to probe; targets that recently failed or were slow are less likely.
 * @param pool - Targets that the request may be sent to.
 * @param count - Number of targets to sample.
 * @param route - The request's route.
 * @param zone - Availability zone of this VM.
 * @param context - Clock and random source.
 */
export function sampleTargets(
  pool: readonly TargetRecord[],
  count: number,
  { isIdempotent }: Pick<Route, 'isIdempotent'>,
  zone: ZoneName,
  context: BalancerContext,
): TargetRecord[] {
  if (pool.length <= count) return [...pool];
  const penalty = isIdempotent ? FAILURE_PENALTY : UNREPEATABLE_FAILURE_PENALTY;
  return pool
    .map((record) => {
      const { failures, slowness } = getScores(record, context.now);
      const zoneWeight = record.entry.zone === zone ? OWN_ZONE_PROBE_WEIGHT : 1;
      const weight = zoneWeight / ((1 + penalty * failures) * Math.max(1, slowness));
      return { record, key: context.random() ** (1 / weight) };
    })
    .sort((a, b) => b.key - a.key)
    .slice(0, count)
    .map(({ record }) => record);
}
