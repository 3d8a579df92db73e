/** Memory that a process needs for everything but bodies, in bytes. */
const OTHER_BYTES = 100 * 1024 * 1024;

/** Share of the rest that bodies may take; what the garbage collector has not freed yet needs room. */
const BODY_SHARE = 0.7;

/** A reservation beyond this size, in bytes, is large. */
const SMALL_BYTES = 64 * 1024;

/** Share of the memory that large reservations leave to small ones. */
const SMALL_SHARE = 0.125;

/** Weight of the latest large reservation in the mean time for which they are held. */
const HOLD_WEIGHT = 0.2;

/** Time for which large reservations are held until one has ended, in milliseconds. */
const INITIAL_HOLD_MS = 1_000;

const BYTES_PER_MB = 1024 * 1024;

interface Waiter {
  readonly bytes: number;
  readonly onGranted: (reservation: MemoryReservation) => void;
}

/** A part of the memory for bodies. Does nothing once it is released. */
export interface MemoryReservation {
  /**
   * Reserves more.
   * @param bytes - How much more, in bytes.
   * @returns Whether there was room; otherwise the reservation is unchanged.
   */
  grow(bytes: number): boolean;
  release(): void;
}

/**
 * Bounds the memory that a process uses for bodies of requests and answers. A process that exceeds
 * its memory is killed, and everything that it has passed on is lost.
 *
 * The whole of a body is reserved before its first byte is read, so that two bodies that are read in
 * part never wait for each other.
 */
export class BodyMemory {
  /** Maximum of all reservations together, in bytes. */
  readonly limitBytes: number;

  /** @internal */
  private reserved = 0;

  /** Large bodies that wait for room, in the order of their arrival. @internal */
  private readonly waiters: Waiter[] = [];

  /** @internal */
  private meanHoldMs = INITIAL_HOLD_MS;

  /**
   * @param memoryMb - Memory of the process, in megabytes.
   * @param now - Monotonic time, in milliseconds.
   */
  constructor(
    memoryMb: number,
    private readonly now: () => number,
  ) {
    this.limitBytes = Math.floor(
      Math.max(BYTES_PER_MB, (memoryMb * BYTES_PER_MB - OTHER_BYTES) * BODY_SHARE),
    );
  }

  /** Sum of all reservations, in bytes. */
  get reservedBytes(): number {
    return this.reserved;
  }

  /** Largest reservation that can ever be granted, in bytes. */
  get largestBytes(): number {
    return Math.floor(this.limitBytes * (1 - SMALL_SHARE));
  }

  /**
   * Estimates how long a body waits for memory behind those that wait already.
   * @param bytes - Size of the body.
   * @returns Milliseconds.
   */
  estimateWaitMs(bytes: number): number {
    const waiting = this.waiters.reduce((sum, waiter) => sum + waiter.bytes, bytes);
    return this.meanHoldMs * (waiting / this.largestBytes);
  }

  /**
   * Reserves memory at once.
   * @param bytes - How much, in bytes.
   * @returns Undefined if there is no room, or others have waited for it longer.
   * @example
   * memory.tryReserve(64 * 1024)?.release();
   */
  tryReserve(bytes: number): MemoryReservation | undefined {
    const isBehindOthers = bytes > SMALL_BYTES && this.waiters.length > 0;
    return isBehindOthers || !this.take(bytes, bytes) ? undefined : this.createReservation(bytes);
  }

  /**
   * Waits for memory.
   * @param bytes - How much, in bytes.
   * @param onGranted - Called once there is room.
   * @returns Stops waiting.
   */
  wait(bytes: number, onGranted: (reservation: MemoryReservation) => void): () => void {
    const waiter = { bytes, onGranted };
    this.waiters.push(waiter);
    return () => {
      const index = this.waiters.indexOf(waiter);
      if (index < 0) return;
      this.waiters.splice(index, 1);
      this.grantWaiters();
    };
  }

  /** @internal */
  private take(bytes: number, totalBytes: number): boolean {
    const limit = totalBytes > SMALL_BYTES ? this.largestBytes : this.limitBytes;
    if (this.reserved + bytes > limit) return false;
    this.reserved += bytes;
    return true;
  }

  /** @internal */
  private createReservation(initialBytes: number): MemoryReservation {
    const startedAt = this.now();
    let bytes = initialBytes;
    let isReleased = false;
    return {
      grow: (more) => {
        if (isReleased || !this.take(more, bytes + more)) return false;
        bytes += more;
        return true;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.reserved -= bytes;
        if (bytes > SMALL_BYTES) this.recordHold(this.now() - startedAt);
        this.grantWaiters();
      },
    };
  }

  /** @internal */
  private recordHold(holdMs: number): void {
    this.meanHoldMs += HOLD_WEIGHT * (holdMs - this.meanHoldMs);
  }

  /** @internal */
  private grantWaiters(): void {
    for (let [next] = this.waiters; next !== undefined; [next] = this.waiters) {
      if (!this.take(next.bytes, next.bytes)) return;
      this.waiters.shift();
      next.onGranted(this.createReservation(next.bytes));
    }
  }
}
