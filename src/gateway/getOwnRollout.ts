import type { BalancerState } from '../balancing/index.js';
import { countOldRequests, getStage } from '../balancing/index.js';
import type { OwnRollout } from '../fleet/RolloutSync.js';
import type { RolloutOrder } from '../rollouts/index.js';

/**
 * What this VM reports of an order; undefined if its decisions don't know the order yet.
 * @param state - What the VM knows.
 * @param order - The order.
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
    oldRequests: countOldRequests(state, rollout),
    counts: rollout.evidence.totals,
  };
}
