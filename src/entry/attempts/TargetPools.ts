import { Pool } from 'undici';

import type { CoreEvent, TargetId } from '../../core/index.js';
import { TargetClient } from './TargetClient.js';

/**
 * Idle connections are closed after this time. Targets often close theirs after 5 s, and one that
 * does so while a request is being sent leaves it unknown whether the request ran.
 */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

interface TargetPool {
  readonly address: string;
  readonly pool: Pool;
}

/**
 * Connection pools of the targets. The pools have no size limit: the core limits the concurrent
 * requests to each target, and thereby the connections.
 */
export class TargetPools {
  /** @internal */
  private readonly pools = new Map<TargetId, TargetPool>();

  /** @param dispatch - Receives an event for each connection that opens or closes. */
  constructor(private readonly dispatch: (event: CoreEvent) => void) {}

  /**
   * Gets the connection pool of a target, and opens it if there is none. If the target's address
   * has changed, the old pool is closed.
   * @param target - The target.
   * @param address - Address of the target, as `IP:port`.
   */
  get(target: TargetId, address: string): Pool {
    const existing = this.pools.get(target);
    if (existing?.address === address) return existing.pool;
    if (existing !== undefined) this.close(target);
    const pool = this.open(target, address);
    this.pools.set(target, { address, pool });
    return pool;
  }

  /**
   * Closes a target's idle connections immediately, and each of the others when its request ends.
   * @param target - The target.
   */
  close(target: TargetId): void {
    const existing = this.pools.get(target);
    if (existing === undefined) return;
    this.pools.delete(target);
    existing.pool.close().catch(() => {});
  }

  /** Closes all connections immediately and aborts their requests. */
  async destroy(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  /** @internal */
  private open(target: TargetId, address: string): Pool {
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      factory: TargetClient.create,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    });
    pool.on('connect', () => this.reportConnectionChange(target, 'opened'));
    pool.on('disconnect', () => this.reportConnectionChange(target, 'closed'));
    return pool;
  }

  /** @internal */
  private reportConnectionChange(target: TargetId, change: 'opened' | 'closed'): void {
    this.dispatch({ kind: 'connectionChanged', target, change });
  }
}
