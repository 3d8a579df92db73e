import type { Destination } from '../balancing/index.js';
import { TargetAgent } from './TargetAgent.js';

/** Connections that this VM may open to one target whatever its share is. */
const LEAST_CONNECTIONS = 4;

/** Part of a target's connections that all entry VMs together use, so that some stay for others. */
const CONNECTION_SHARE = 0.8;

/** The connections of this VM, by target and by its lifetime. */
export class TargetAgents {
  /** @internal */
  private readonly agents = new Map<string, TargetAgent>();

  /** Connections that all entry VMs may open to one target, and how many VMs there are. */
  limits = { maxConnections: 100, vms: 1 };

  /**
   * The connections to a target.
   * @param to - The target.
   */
  get(to: Destination): TargetAgent {
    const key = `${to.target} ${to.bornAt} ${to.address}`;
    const known = this.agents.get(key);
    if (known !== undefined) return known;
    const { maxConnections, vms } = this.limits;
    const own = Math.floor((maxConnections * CONNECTION_SHARE) / vms);
    const made = new TargetAgent(Math.max(LEAST_CONNECTIONS, own));
    this.agents.set(key, made);
    return made;
  }

  /**
   * Ends idle connections to targets that are no longer used.
   * @param targets - Ids of those that are.
   */
  keepOnly(targets: ReadonlySet<string>): void {
    for (const [key, agent] of this.agents) {
      if (targets.has(key.slice(0, key.indexOf(' ')))) continue;
      agent.dropIdle();
      this.agents.delete(key);
    }
  }

  /** Ends all connections. */
  destroy(): void {
    for (const agent of this.agents.values()) agent.destroy();
  }
}
