import type { EventLog } from '../logging/EventLog.js';
import type { RolloutCoordinator, RolloutOrder, RolloutState } from '../rollouts/index.js';
import type { Clock } from '../timing/index.js';
import type { FleetStore } from './FleetStore.js';

/**
 * Delay of a write for each VM that precedes this one in the order of coordinators, in
 * milliseconds.
 */
const RANK_DELAY_MS = 700;

/** Interval between writes, in milliseconds: a written state takes time to arrive here. */
const WRITE_INTERVAL_MS = 1_500;

/** Time from a failed write to the next one, in milliseconds. */
const FAILED_RETRY_MS = 300;

/** Dependencies of `RolloutStateWriter`. */
export interface RolloutStateWriterParts {
  readonly store: FleetStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * Writes the state of one order. Any coordinator may write it: the store accepts a state only for
 * the revision that the writer has read, so a state that another VM has written meanwhile is not
 * replaced.
 */
export class RolloutStateWriter {
  /** When `dueState` became due; monotonic milliseconds. @internal */
  private dueSince: number | undefined;

  /** @internal */
  private dueState: RolloutState | undefined;

  /** No write starts before this time; monotonic milliseconds. @internal */
  private nextWriteAt = 0;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: RolloutStateWriterParts) {}

  /**
   * Writes the state of the order if it has changed and it is this VM's turn; failures are logged.
   * @param order - The order as last read from the store.
   * @param coordinator - Decides on the state.
   * @param rank - Position of this VM in the order of coordinators; 0 is the first.
   */
  async writeIfDue(
    order: RolloutOrder,
    coordinator: RolloutCoordinator,
    rank: number,
  ): Promise<void> {
    const { clock } = this.parts;
    const state = coordinator.getDueState(clock.now()) ?? 'running';
    if (order.state === state) return;
    await this.write(order, state, rank, () => ({ ...coordinator.getInputs(clock.now()) }));
  }

  /**
   * Writes the final state of an order again after the store has lost it; failures are logged.
   * @param order - The order, with the state that is known.
   * @param rank - Position of this VM in the order of coordinators; 0 is the first.
   */
  async writeLostState(order: RolloutOrder, rank: number): Promise<void> {
    const { state } = order;
    if (state !== undefined) await this.write(order, state, rank, () => ({ isAgain: true }));
  }

  /** @internal */
  private async write(
    order: RolloutOrder,
    state: RolloutState,
    rank: number,
    getInputs: () => Readonly<Record<string, unknown>>,
  ): Promise<void> {
    const { store, clock, log } = this.parts;
    const now = clock.now();
    if (this.dueState !== state) {
      this.dueState = state;
      this.dueSince = now;
    }
    const isMyTurn = now - (this.dueSince ?? now) >= Math.max(0, rank) * RANK_DELAY_MS;
    if (!isMyTurn || now < this.nextWriteAt) return;
    this.nextWriteAt = now + WRITE_INTERVAL_MS;
    const fields = { order: order.id, state, revision: order.position.revision };
    try {
      const isWritten = await store.writeRolloutState(order, state);
      log.write('rollout.written', { ...fields, isWritten, ...getInputs() });
    } catch (err) {
      this.nextWriteAt = clock.now() + FAILED_RETRY_MS;
      log.write('rollout.writeFailed', { ...fields, message: (err as Error).message });
    }
  }
}
