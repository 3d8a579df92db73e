import type { EventLog } from '../logging/EventLog.js';
import type { RolloutCoordinator, RolloutOrder, RolloutState } from '../rollouts/index.js';
import type { Clock } from '../timing/index.js';
import type { FleetStore } from './FleetStore.js';

/** A VM waits so much longer for each VM before it in the order to write a state, in milliseconds. */
const RANK_DELAY_MS = 700;

/** Time from a write to the next, in milliseconds: word of what was written takes time. */
const AGAIN_MS = 1_500;

/** After a write that failed, in milliseconds. */
const FAILED_AGAIN_MS = 300;

/** What a writer works with. */
export interface RolloutWriterParts {
  readonly store: FleetStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * Writes how one order stands. Any coordinator may: the store takes a state only under the revision
 * that the writer knows, so that one written meanwhile by another VM is never replaced unseen.
 */
export class RolloutWriter {
  /** @internal */
  private dueSince: number | undefined;

  /** @internal */
  private due: RolloutState | undefined;

  /** @internal */
  private notBefore = 0;

  /** @param parts - What the writer works with. */
  constructor(private readonly parts: RolloutWriterParts) {}

  /**
   * Writes a state if one is due.
   * @param order - The order as the store last told it.
   * @param coordinator - What is decided.
   * @param rank - Place of this VM among those that may write.
   */
  async write(order: RolloutOrder, coordinator: RolloutCoordinator, rank: number): Promise<void> {
    const { store, clock, log } = this.parts;
    const now = clock.now();
    const state = coordinator.getDueState(now) ?? 'running';
    if (order.state === state) return;
    if (this.due !== state) {
      this.due = state;
      this.dueSince = now;
    }
    const isMyTurn = now - (this.dueSince ?? now) >= Math.max(0, rank) * RANK_DELAY_MS;
    if (!isMyTurn || now < this.notBefore) return;
    this.notBefore = now + AGAIN_MS;
    const fields = { order: order.id, state, revision: order.revision };
    try {
      const isWritten = await store.writeRolloutState(order, state);
      const inputs = coordinator.getInputs(clock.now());
      log.write('rollout.written', { ...fields, isWritten, ...inputs });
    } catch (err) {
      this.notBefore = clock.now() + FAILED_AGAIN_MS;
      log.write('rollout.writeFailed', { ...fields, message: (err as Error).message });
    }
  }
}
