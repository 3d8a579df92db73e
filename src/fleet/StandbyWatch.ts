import type { PropagationTimes } from './propagation.js';

/**
 * Shortest time for which the VM that stands by watches the store, in milliseconds. It doubles with
 * each start that soon follows a stop: a store that answers slowly may delay each confirmation by
 * just too much, and each start reads all sections.
 */
const MIN_HOLD_MS = 3_000;
const MAX_HOLD_MS = 60_000;

/** A start within this time after the latest stop doubles the time to hold, in milliseconds. */
const REPEAT_WINDOW_MS = 15_000;

/** What the decision is based on. */
export interface StandbyInputs {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Whether this VM watches the store at present. */
  readonly isWatching: boolean;
  /** Time since the latest confirmation to another VM, in milliseconds; infinite if none is known. */
  readonly peerAgeMs: number;
  /** Time since the connection to the other watcher was started; undefined if there is none. */
  readonly connectedMs: number | undefined;
}

/**
 * Decides when the second watcher, which stands by, watches the store itself. It responds to missing
 * confirmations of the first watcher: that VM may be down, suspended, cut off from this one or from
 * the store, or the store may be slow.
 */
export class StandbyWatch {
  /** When the present watch was first needed; undefined if there is none. @internal */
  private startedAt: number | undefined;

  /** @internal */
  private stoppedAt = Number.NEGATIVE_INFINITY;

  /** @internal */
  private holdMs = MIN_HOLD_MS;

  /** @param times - Times of the stages by which changes reach all VMs. */
  constructor(private readonly times: Pick<PropagationTimes, 'standbyMs' | 'sourceGraceMs'>) {}

  /**
   * Whether to watch the store.
   * @param inputs - What is known of the other watcher.
   */
  shouldWatch({ now, isWatching, peerAgeMs, connectedMs }: StandbyInputs): boolean {
    const { standbyMs, sourceGraceMs } = this.times;
    const isConfirmed = peerAgeMs <= standbyMs;
    if (isWatching) {
      if (!isConfirmed || now - (this.startedAt ?? now - this.holdMs) < this.holdMs) return true;
      this.startedAt = undefined;
      this.stoppedAt = now;
      return false;
    }
    // A VM that has just started gets its first confirmation with the data of the other watcher.
    const isConnecting =
      connectedMs !== undefined && connectedMs < sourceGraceMs && !Number.isFinite(peerAgeMs);
    if (isConfirmed || isConnecting) return false;
    const isRepeated = now - this.stoppedAt < REPEAT_WINDOW_MS;
    this.holdMs = isRepeated ? Math.min(MAX_HOLD_MS, this.holdMs * 2) : MIN_HOLD_MS;
    this.startedAt = now;
    return true;
  }
}
