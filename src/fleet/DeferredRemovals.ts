import type { StorePosition } from '../core/model/index.js';
import { comparePositions } from '../core/model/index.js';
import type { CancelTimer, Clock } from '../timing/index.js';

/** Objects of a section that the store lacks but that may be written again. */
export class DeferredRemovals {
  /** Position at which each object was missing, by its name. @internal */
  private readonly missingAt = new Map<string, StorePosition>();

  /** @internal */
  private dueTime = Number.NEGATIVE_INFINITY;

  /** @internal */
  private cancelTimer: CancelTimer = () => {};

  /**
   * @param clock - Source of monotonic time.
   * @param onDue - Called with the names of the objects that have not been written again in time.
   */
  constructor(
    private readonly clock: Clock,
    private readonly onDue: (names: readonly string[]) => void,
  ) {}

  /** Time until the objects that are still missing are removed, in milliseconds; 0 if it is over. */
  get dueInMs(): number {
    return Math.max(0, this.dueTime - this.clock.now());
  }

  /** Number of objects that are missing. */
  get size(): number {
    return this.missingAt.size;
  }

  /** Names of the missing objects. */
  get names(): readonly string[] {
    return [...this.missingAt.keys()];
  }

  /** Whether an object is missing. */
  has(name: string): boolean {
    return this.missingAt.has(name);
  }

  /**
   * Records that an object is missing.
   * @param name - Name of the object.
   * @param position - Position at which the store lacks it.
   */
  add(name: string, position: StorePosition): void {
    this.missingAt.set(name, position);
  }

  /**
   * Records that the store has an object, unless it was missing at a later position.
   * @param name - Name of the object.
   * @param position - Position at which the store has it.
   * @returns Whether the object was missing until now.
   */
  resolve(name: string, position: StorePosition): boolean {
    const missingAt = this.missingAt.get(name);
    if (missingAt === undefined || comparePositions(position, missingAt) <= 0) return false;
    return this.missingAt.delete(name);
  }

  /** Forgets an object, because it has been removed. */
  delete(name: string): void {
    this.missingAt.delete(name);
  }

  /**
   * Keeps missing objects until a time, or longer if that was decided before.
   * @param time - Monotonic milliseconds.
   */
  keepUntil(time: number): void {
    if (time <= this.dueTime) return;
    this.dueTime = time;
    this.cancelTimer();
    this.startTimer();
  }

  /** @internal */
  private startTimer(): void {
    this.cancelTimer = this.clock.after(Math.ceil(this.dueInMs), () => {
      // Timers of the system may fire some milliseconds early.
      if (this.dueInMs > 0) this.startTimer();
      else this.removeMissing();
    });
  }

  /** @internal */
  private removeMissing(): void {
    const { names } = this;
    this.missingAt.clear();
    if (names.length > 0) this.onDue(names);
  }
}
