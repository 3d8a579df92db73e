import type { CancelTimer, Clock } from '../timing/index.js';

interface Entry {
  readonly at: number;
  readonly order: number;
  action: (() => void) | undefined;
}

function isBefore(left: Entry, right: Entry): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** Calls further off than this wait in buckets: most are cancelled before they are due. */
const NEAR_MS = 100;

/** Time that moves only as `runUntil` takes planned calls, in order of time, then of planning. */
export class VirtualClock implements Clock {
  /** @internal */
  private time = 0;

  /** @internal */
  private order = 0;

  /** Binary heap, the next call first. @internal */
  private readonly heap: Entry[] = [];

  /** Calls that are far off, by tenths of a second. @internal */
  private readonly far = new Map<number, Entry[]>();

  /** Buckets before this one are in the heap. @internal */
  private nextBucket = 2;

  now(): number {
    return this.time;
  }

  after(delayMs: number, action: () => void): CancelTimer {
    const entry: Entry = { at: this.time + Math.max(0, delayMs), order: this.order, action };
    this.order += 1;
    const bucket = Math.floor(entry.at / NEAR_MS);
    if (bucket < this.nextBucket) this.push(entry);
    else this.pushFar(bucket, entry);
    return () => {
      entry.action = undefined;
    };
  }

  /**
   * Makes all planned calls up to a time.
   * @param end - Milliseconds.
   * @param afterEach - Called after each planned call.
   */
  runUntil(end: number, afterEach?: () => void): void {
    for (;;) {
      const [next] = this.heap;
      const nearUntil = (this.nextBucket - 1) * NEAR_MS;
      if ((next === undefined || next.at >= nearUntil) && nearUntil <= end) {
        this.bringNear();
        continue;
      }
      if (next === undefined || next.at > end) break;
      this.pop();
      if (next.action !== undefined) {
        this.time = next.at;
        next.action();
        afterEach?.();
      }
    }
    this.time = Math.max(this.time, end);
  }

  /** @internal */
  private pushFar(bucket: number, entry: Entry): void {
    const entries = this.far.get(bucket);
    if (entries === undefined) this.far.set(bucket, [entry]);
    else entries.push(entry);
  }

  /** Puts the next bucket's calls into the heap, but those cancelled meanwhile. @internal */
  private bringNear(): void {
    const entries = this.far.get(this.nextBucket) ?? [];
    this.far.delete(this.nextBucket);
    this.nextBucket += 1;
    for (const entry of entries) if (entry.action !== undefined) this.push(entry);
  }

  /** @internal */
  private push(entry: Entry): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(entry, above)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = entry;
  }

  /** Takes the first entry out and puts the last in its place, then sinks it. @internal */
  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const left = heap[child];
      if (left === undefined) break;
      const right = heap[child + 1];
      let least = left;
      if (right !== undefined && isBefore(right, left)) {
        least = right;
        child += 1;
      }
      if (!isBefore(least, last)) break;
      heap[index] = least;
      index = child;
    }
    heap[index] = last;
  }
}
