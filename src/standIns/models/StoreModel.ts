import type { StoreEntry, StoreOp, StoreResult } from '../../core/index.js';
import type { Clock } from '../../timing/index.js';

/** Rate limits and answer time of the store. */
export interface StoreModelOptions {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Time from a call to its answer, in milliseconds. */
  readonly answerMs: number;
}

/** Faults injected into the store; tests modify them in place. */
export interface StoreFaults {
  /** `refusing`: connections are refused. `hanging`: calls are accepted but never answered. */
  down?: 'refusing' | 'hanging';
  /** Latency added to each answer, in milliseconds. */
  extraMs: number;
  /** Selects the calls that take effect but whose answer is lost; not applied to watches. */
  losesAnswer?: (op: StoreOp) => boolean;
}

/** Calls in one second of the clock, throttled ones included. */
export interface StoreCallCounts {
  /** Clock time in whole seconds. */
  readonly second: number;
  writes: number;
  /** Reads, plus one for each watch that was pending at the second's first call. */
  reads: number;
}

/** Result of a call as its caller sees it; `lost` means that no answer will ever arrive. */
export type StoreReply = StoreResult | 'lost';

interface PendingWatch {
  readonly key: string;
  readonly after: number;
  readonly reply: (result: StoreReply) => void;
}

const DEFAULT_OPTIONS: StoreModelOptions = {
  writesPerSecond: 400,
  readsPerSecond: 2_000,
  answerMs: 3,
};

/** In-memory object store with versions, conditional writes, watches and rate limits. */
export class StoreModel {
  readonly faults: StoreFaults = { extraMs: 0 };

  /** Number of calls in each second that had any, oldest first. */
  readonly callsBySecond: StoreCallCounts[] = [];

  /** Number of calls rejected because a rate limit was exceeded. */
  throttledCalls = 0;

  /** @internal */
  private readonly entries = new Map<string, StoreEntry>();

  /** @internal */
  private readonly watches = new Set<PendingWatch>();

  /** @internal */
  private readonly options: StoreModelOptions;

  /** @internal */
  private version = 0;

  /**
   * @param clock - Source of time and timers.
   * @param options - Rate limits and answer time; the defaults are the platform's specification.
   */
  constructor(
    private readonly clock: Clock,
    options: Partial<StoreModelOptions> = {},
  ) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
  }

  /**
   * Returns the current state of an object, bypassing faults and call counts; for tests.
   * @param key - Key of the object.
   */
  peek(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  /**
   * Returns all objects whose keys start with a prefix, bypassing faults and call counts.
   * @param prefix - Key prefix.
   */
  peekAll(prefix: string): StoreEntry[] {
    return [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
  }

  /**
   * Executes one call.
   * @param op - Operation to execute.
   * @param reply - Called once with the result, or immediately with `lost` if the answer is lost.
   * @example
   * store.call({ op: 'get', key: 'config/root' }, (result) => console.log(result));
   */
  call(op: StoreOp, reply: (result: StoreReply) => void): void {
    const { down, extraMs } = this.faults;
    if (down === 'refusing') {
      reply({ kind: 'unavailable' });
      return;
    }
    if (down === 'hanging') {
      reply('lost');
      return;
    }
    if (!this.tryCountCall(op)) {
      this.throttledCalls += 1;
      this.scheduleReply(reply, { kind: 'throttled', retryAfterMs: 1_000 }, extraMs);
      return;
    }
    const isAnswerLost = this.faults.losesAnswer?.(op) ?? false;
    if (op.op === 'watch') {
      this.watch(op, reply);
      return;
    }
    const result = this.apply(op);
    if (isAnswerLost) reply('lost');
    else this.scheduleReply(reply, result, extraMs);
  }

  /** @internal */
  private scheduleReply(
    reply: (r: StoreReply) => void,
    result: StoreResult,
    extraMs: number,
  ): void {
    this.clock.after(this.options.answerMs + extraMs, () => reply(result));
  }

  /** Counts a call; returns false if it exceeds this second's rate limit. @internal */
  private tryCountCall(op: StoreOp): boolean {
    const second = Math.floor(this.clock.now() / 1_000);
    let current = this.callsBySecond.at(-1);
    if (current === undefined || current.second !== second) {
      current = { second, writes: 0, reads: this.watches.size };
      this.callsBySecond.push(current);
    }
    if (op.op === 'put' || op.op === 'delete') {
      current.writes += 1;
      return current.writes <= this.options.writesPerSecond;
    }
    current.reads += 1;
    return current.reads <= this.options.readsPerSecond;
  }

  /** @internal */
  private apply(op: Exclude<StoreOp, { op: 'watch' }>): StoreResult {
    if (op.op === 'list') {
      const entries = [...this.entries.values()].filter(({ key }) => key.startsWith(op.prefix));
      return { kind: 'listed', entries };
    }
    const entry = this.entries.get(op.key);
    if (op.op === 'get') {
      return entry === undefined ? { kind: 'missing' } : { kind: 'found', entry };
    }
    const version = entry?.version ?? 0;
    if (version !== op.expect) return { kind: 'conflict', version };
    this.version += 1;
    if (op.op === 'put') {
      // Stores a copy, as a network call would: the writer may modify its object afterwards.
      const value: unknown = JSON.parse(JSON.stringify(op.value));
      this.entries.set(op.key, { key: op.key, version: this.version, value });
    } else {
      this.entries.delete(op.key);
    }
    this.notifyWatches(op.key);
    return { kind: 'written', version: this.version };
  }

  /** @internal */
  private watch(op: Extract<StoreOp, { op: 'watch' }>, reply: (r: StoreReply) => void): void {
    const entry = this.entries.get(op.key);
    if (entry !== undefined && entry.version > op.after) {
      this.scheduleReply(reply, { kind: 'found', entry }, this.faults.extraMs);
      return;
    }
    const pending: PendingWatch = { key: op.key, after: op.after, reply };
    this.watches.add(pending);
    this.clock.after(op.waitMs, () => {
      if (!this.watches.delete(pending)) return;
      const { down, extraMs } = this.faults;
      if (down === undefined) this.scheduleReply(reply, { kind: 'unchanged' }, extraMs);
      else reply('lost');
    });
  }

  /** @internal */
  private notifyWatches(key: string): void {
    const entry = this.entries.get(key);
    for (const pending of this.watches) {
      if (pending.key !== key) continue;
      if (entry !== undefined && entry.version <= pending.after) continue;
      this.watches.delete(pending);
      const result: StoreResult =
        entry === undefined ? { kind: 'missing' } : { kind: 'found', entry };
      this.scheduleReply(pending.reply, result, this.faults.extraMs);
    }
  }
}
