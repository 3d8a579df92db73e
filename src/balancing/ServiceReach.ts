import type { TargetId } from '../core/model/index.js';

/** What this VM has heard from the targets of one service. */
export interface ServiceReach {
  /** When a target last answered a request or a probe; monotonic milliseconds. */
  heardAt: number;
  /** Targets that took no connection or gave no answer since. */
  readonly failed: Set<TargetId>;
  /** When the service was found to be out of reach; undefined while it is not. */
  lostAt: number | undefined;
  /** When the targets of a service out of reach are next probed; monotonic milliseconds. */
  nextProbeAt: number;
}

/** Creates the state of a service from which nothing has been heard. */
export function createServiceReach(): ServiceReach {
  return {
    heardAt: Number.NEGATIVE_INFINITY,
    failed: new Set(),
    lostAt: undefined,
    nextProbeAt: 0,
  };
}
