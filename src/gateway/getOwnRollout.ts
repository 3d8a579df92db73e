import type { BalancerState } from '../balancing/index.js';
import { countOldVersionRequests, getStage } from '../balancing/index.js';
import type { OwnRollout } from '../fleet/RolloutSync.js';
import type { RolloutOrder } from '../rollouts/index.js';

/**
 * Returns what this VM reports about a rollout; undefined if its balancer does not know the order
 * yet.
 * @param state - The balancer's state.
 * @param order - The rollout order.
 * @param now - Monotonic milliseconds.
 */
export function getOwnRollout(
  state: BalancerState,
  { id, service }: RolloutOrder,
  now: number,
): OwnRollout | undefined {
  const rollout = state.versions.rollouts.get(service);
  if (rollout === undefined || rollout.order.id !== id) return undefined;
  const stage = getStage(rollout, now);
  return {
    phase: stage === 'paused' || stage === 'completed' ? 'trial' : stage,
    oldRequests: countOldVersionRequests(state, rollout),
    counts: rollout.evidence.totals,
  };
}
