import type { RequestId } from '../model/index.js';

/** One request that waits for a free slot. */
export interface QueueEntry {
  readonly request: RequestId;
  readonly caller: string;
  readonly deadlineAt: number;
  readonly enqueuedAt: number;
  /** Whether it may be forwarded to a peer; false if a peer forwarded it here. */
  readonly isForwardable: boolean;
}

interface CallerQueue {
  /** Sorted by deadline, the earliest first. */
  readonly entries: QueueEntry[];
  /** Virtual time from which the caller's next request is due. */
  dueAt: number;
}

/** Requests that a caller may have served ahead of its fair share after it had none waiting. */
const BURST_REQUESTS = 4;

/**
 * Requests that wait for a free slot of one service. Callers share the slots equally by virtual
 * time, so a caller that sends many requests gets no more than its share while others wait. Among
 * the callers whose next request is due, the request with the earliest deadline is served first.
 */
export class ServiceQueue {
  /** @internal */
  private readonly callers = new Map<string, CallerQueue>();

  /** Each request taken out advances it by 1 / (number of waiting callers). @internal */
  private virtualTime = 0;

  /** @internal */
  private waitingCallers = 0;

  /** @internal */
  private size = 0;

  /** Number of waiting requests. */
  get length(): number {
    return this.size;
  }

  /**
   * Adds a request.
   * @param entry - The request.
   * @example
   * const times = { deadlineAt: 500, enqueuedAt: 0 };
   * queue.push({ request: 1, caller: 'door', ...times, isForwardable: true });
   */
  push(entry: QueueEntry): void {
    let caller = this.callers.get(entry.caller);
    if (caller === undefined) {
      caller = { entries: [], dueAt: this.virtualTime - BURST_REQUESTS };
      this.callers.set(entry.caller, caller);
    }
    const { entries } = caller;
    if (entries.length === 0) {
      this.waitingCallers += 1;
      caller.dueAt = Math.max(caller.dueAt, this.virtualTime - BURST_REQUESTS);
    }
    let at = entries.length;
    while (at > 0 && entries[at - 1].deadlineAt > entry.deadlineAt) at -= 1;
    entries.splice(at, 0, entry);
    this.size += 1;
  }

  /**
   * Removes the request that is to be served next and returns it.
   * @param accepts - Entries for which it returns false are skipped.
   * @example
   * const next = queue.shift((entry) => entry.isForwardable);
   */
  shift(accepts: (entry: QueueEntry) => boolean = () => true): QueueEntry | undefined {
    const next = this.findNext(accepts);
    if (next === undefined) return undefined;
    const caller = this.callers.get(next.caller)!;
    this.virtualTime = Math.max(this.virtualTime, caller.dueAt) + 1 / this.waitingCallers;
    caller.dueAt += 1;
    this.removeEntry(next, caller);
    return next;
  }

  /**
   * Removes a request that no longer needs a slot. Does nothing if it isn't in the queue.
   * @param caller - The caller that sent it.
   * @param request - The request.
   */
  remove(caller: string, request: RequestId): void {
    const queue = this.callers.get(caller);
    const entry = queue?.entries.find((each) => each.request === request);
    if (queue !== undefined && entry !== undefined) this.removeEntry(entry, queue);
  }

  /**
   * Number of waiting requests of one caller.
   * @param caller - The caller that sent them.
   */
  count(caller: string): number {
    return this.callers.get(caller)?.entries.length ?? 0;
  }

  /** The request with the latest deadline of the caller that has the most waiting requests. */
  findLastOfBusiestCaller(): QueueEntry | undefined {
    let longest: readonly QueueEntry[] = [];
    for (const { entries } of this.callers.values()) {
      if (entries.length > longest.length) longest = entries;
    }
    return longest.at(-1);
  }

  /** When the longest waiting request was added; undefined if the queue is empty. */
  getOldestEnqueuedAt(): number | undefined {
    let oldest: number | undefined;
    for (const entry of this) {
      if (oldest === undefined || entry.enqueuedAt < oldest) oldest = entry.enqueuedAt;
    }
    return oldest;
  }

  /** All waiting requests, in no particular order. */
  *[Symbol.iterator](): Iterator<QueueEntry> {
    for (const { entries } of this.callers.values()) yield* entries;
  }

  /** @internal */
  private findNext(accepts: (entry: QueueEntry) => boolean): QueueEntry | undefined {
    let nextDue: QueueEntry | undefined;
    let nextEarly: QueueEntry | undefined;
    let earlyDueAt = Number.POSITIVE_INFINITY;
    for (const caller of this.callers.values()) {
      const head = caller.entries.find(accepts);
      if (head === undefined) continue;
      if (caller.dueAt <= this.virtualTime) {
        if (nextDue === undefined || head.deadlineAt < nextDue.deadlineAt) nextDue = head;
      } else if (caller.dueAt < earlyDueAt) {
        nextEarly = head;
        earlyDueAt = caller.dueAt;
      }
    }
    return nextDue ?? nextEarly;
  }

  /** @internal */
  private removeEntry(entry: QueueEntry, caller: CallerQueue): void {
    caller.entries.splice(caller.entries.indexOf(entry), 1);
    this.size -= 1;
    if (caller.entries.length === 0) this.waitingCallers -= 1;
    // Shares only matter while requests wait, so an empty queue forgets its callers.
    if (this.size === 0) this.callers.clear();
  }
}
