import { Agent } from 'node:http';

import type { Destination } from '../balancing/index.js';
import { TargetAgent } from './TargetAgent.js';

/** Connections that this VM may always open to a target, even if its share is smaller. */
const MIN_CONNECTIONS = 4;

/** Share of a target's connections that all entry VMs use together; the rest is for others. */
const CONNECTION_SHARE = 0.8;

/** Limits on the connections to one target. */
export interface ConnectionLimits {
  /** Connections that a target accepts from all entry VMs together. */
  readonly maxConnections: number;
  /** Number of entry VMs. */
  readonly vms: number;
}

/** Connection pools of the targets. A target that has restarted gets a new pool. */
export class TargetAgents {
  /** @internal */
  private readonly agents = new Map<string, TargetAgent>();

  /** @internal */
  private currentLimits: ConnectionLimits = { maxConnections: 100, vms: 1 };

  /**
   * Opens a connection for each request and closes it after the answer. Requests without an id need
   * it, since nothing else distinguishes their answers from late answers to earlier requests.
   */
  readonly unshared = new Agent({ keepAlive: false });

  /** What the connections of each pool are limited by; applies to existing pools as well. */
  get limits(): ConnectionLimits {
    return this.currentLimits;
  }

  set limits(limits: ConnectionLimits) {
    this.currentLimits = limits;
    for (const agent of this.agents.values()) agent.maxSockets = this.maxSockets;
  }

  /**
   * Returns the connection pool of a target, creating it if necessary.
   * @param to - The target.
   */
  getAgent(to: Destination): TargetAgent {
    const key = `${to.target} ${to.bornAt} ${to.address}`;
    const existing = this.agents.get(key);
    if (existing !== undefined) return existing;
    const created = new TargetAgent(this.maxSockets);
    this.agents.set(key, created);
    return created;
  }

  /**
   * Destroys the idle connections to a target.
   * @param to - The target.
   */
  destroyIdle(to: Destination): void {
    this.getAgent(to).destroyIdle();
  }

  /**
   * Drops the pools of all other targets and destroys their idle connections. Requests in progress
   * are completed.
   * @param targets - Ids of the targets whose pools are kept.
   */
  keepOnly(targets: ReadonlySet<string>): void {
    for (const [key, agent] of this.agents) {
      if (targets.has(key.slice(0, key.indexOf(' ')))) continue;
      agent.destroyIdle();
      this.agents.delete(key);
    }
  }

  /** Connections that this VM may open to one target. @internal */
  private get maxSockets(): number {
    const { maxConnections, vms } = this.limits;
    return Math.max(MIN_CONNECTIONS, Math.floor((maxConnections * CONNECTION_SHARE) / vms));
  }

  /** Destroys all connections. */
  destroy(): void {
    for (const agent of this.agents.values()) agent.destroy();
    this.unshared.destroy();
  }
}
