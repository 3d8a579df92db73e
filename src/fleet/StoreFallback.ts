/** Time for which the store is watched directly once the sources were stale, in milliseconds. */
const DIRECT_WATCH_MS = 3_000;

/**
 * Pause after the second failed store call in a row, and each further one, of a VM that is not a
 * watcher, in milliseconds: minimum, amount for each entry VM, and maximum. All these VMs together
 * then make about 20 to 50 calls a second. When each of 94 VMs read four sections and then retried
 * twice a second, a day with a store outage of eight seconds took 6,121 calls, which cost 0.24 of
 * its revenue; other days take about 1,700.
 */
const MIN_FAILURE_PAUSE_MS = 1_000;
const FAILURE_PAUSE_PER_VM_MS = 50;
const MAX_FAILURE_PAUSE_MS = 3_000;

/**
 * Longest time in which a newly connected source has to deliver fresh data, in milliseconds; each
 * further source in a row gets more.
 */
const MAX_SOURCE_GRACE_MS = 2_000;

function getFailurePauseMs(vms: number): number {
  const pauseMs = Math.max(MIN_FAILURE_PAUSE_MS, FAILURE_PAUSE_PER_VM_MS * vms);
  return Math.min(MAX_FAILURE_PAUSE_MS, pauseMs);
}

/**
 * Decides when a VM that is not a watcher watches the store directly.
 *
 * It does so when two sources in a row have no fresh data. A single source may be the only VM that
 * is isolated, and the next one is as up to date as the store: when a third of 142 VMs was isolated
 * and each VM below them called the store, this took 5,493 calls, which cost 0.17 of the day's
 * revenue. A single failed call may be a lost connection, so it is repeated soon. If that fails as
 * well, the store is most likely down for all. The watchers notice its recovery first and tell the
 * others, whose calls would only add to the bill.
 */
export class StoreFallback {
  /** Number of sources in a row without fresh data. @internal */
  private consecutiveLosses = 0;

  /** Number of store calls in a row that failed. @internal */
  private consecutiveFailures = 0;

  /** End of the direct watch; monotonic milliseconds. @internal */
  private watchUntil = 0;

  /** No direct watch starts before this time; monotonic milliseconds. @internal */
  private retryAt = 0;

  /** @param graceMs - Time in which the first new source has to deliver fresh data, in milliseconds. */
  constructor(private readonly graceMs: number) {}

  /**
   * Whether to watch the store directly.
   * @param now - Monotonic milliseconds.
   */
  shouldWatchStore(now: number): boolean {
    return now < this.watchUntil;
  }

  /**
   * Time in which the current source has to deliver fresh data, in milliseconds. It grows with the
   * number of sources in a row that had none, since a store outage is then more likely.
   */
  get sourceGraceMs(): number {
    return Math.min(MAX_SOURCE_GRACE_MS, this.graceMs * (1 + this.consecutiveLosses));
  }

  /**
   * Records that the source is stale or silent or has disconnected.
   * @param now - Monotonic milliseconds.
   */
  recordSourceLost(now: number): void {
    if (this.consecutiveLosses > 0) this.startDirectWatch(now);
    this.consecutiveLosses += 1;
  }

  /**
   * Records that the source has not delivered fresh data yet.
   * @param now - Monotonic milliseconds.
   * @param connectedMs - Time since the connection was started, in milliseconds.
   */
  recordSourceWaiting(now: number, connectedMs: number): void {
    if (this.consecutiveLosses > 0 && connectedMs > this.graceMs) this.startDirectWatch(now);
  }

  /** Records that the source delivers fresh data, which ends a direct watch. */
  recordSourceFresh(): void {
    this.consecutiveLosses = 0;
    this.consecutiveFailures = 0;
    this.watchUntil = 0;
  }

  /** Records that a call to the store has succeeded. */
  recordStoreSuccess(): void {
    this.consecutiveFailures = 0;
  }

  /**
   * Records that a call to the store has failed, which ends a direct watch.
   * @param now - Monotonic milliseconds.
   * @param vms - Number of entry VMs.
   * @param jitter - Uniform in [0, 1); spreads the retries of the VMs.
   */
  recordStoreFailure(now: number, vms: number, jitter: number): void {
    this.watchUntil = now;
    this.consecutiveFailures += 1;
    const pauseMs = this.consecutiveFailures === 1 ? this.graceMs : getFailurePauseMs(vms);
    this.retryAt = now + pauseMs * (0.5 + jitter);
  }

  /** @internal */
  private startDirectWatch(now: number): void {
    if (now >= this.retryAt && !this.shouldWatchStore(now)) this.watchUntil = now + DIRECT_WATCH_MS;
  }
}
