import type { BalancerState } from '../balancing/index.js';
import {
  countTargets,
  getAdmissionFigures,
  getLongestPauses,
  getRolloutStats,
} from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { MetricSources } from './GatewayMetrics.js';

/**
 * Creates the sources of the metrics that show the balancer's state.
 * @param state - The balancer's state, which is read on each scrape.
 * @param clock - Clock of the balancer.
 */
export function createStateSources(
  state: BalancerState,
  clock: Clock,
): Pick<
  MetricSources,
  | 'getTargetCounts'
  | 'getLongestPauses'
  | 'getLearntCurves'
  | 'getRolloutFigures'
  | 'getQuotaFigures'
  | 'getAdmissionFigures'
  | 'now'
> {
  return {
    getTargetCounts: () => countTargets(state, clock.now()),
    getLongestPauses: () => getLongestPauses(state, clock.now()),
    getLearntCurves: () =>
      new Map([...state.serviceCurves].map(([name, { estimates }]) => [name, estimates])),
    now: () => clock.now(),
    getQuotaFigures: () => state.quotaPool.figures,
    getAdmissionFigures: () => getAdmissionFigures(state, clock.now()),
    getRolloutFigures: () => getRolloutStats(state, clock.now()),
  };
}
