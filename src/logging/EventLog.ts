import { write } from 'node:fs';

/** Limit on lines that are buffered in memory while the reader stalls, in bytes. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Rate limit of each event: lines per second, and the burst allowed after a quiet period. */
const EVENT_LINES_PER_SECOND = 60;
const EVENT_BURST_LINES = 120;

const STANDARD_OUTPUT = 1;

/** Token bucket of one event. */
interface EventRateLimit {
  tokens: number;
  refilledAt: number;
  /** Lines suppressed since the last one that was written. */
  suppressed: number;
}

/** Output and clocks of an `EventLog`; replaced in tests. */
export interface EventLogParts {
  /** Writes text and calls `done` when it has been written. */
  write(text: string, done: () => void): void;
  /** Monotonic milliseconds. */
  now(): number;
  /** Unix milliseconds. */
  wallNow(): number;
}

/**
 * Writes to standard output on a thread of Node's thread pool: a direct write to a pipe whose
 * reader stalls would block the main thread, which serves all requests.
 * @param text - Text to write.
 * @param done - Called when the text has been written or could not be written.
 */
export function writeStandardOutput(text: string, done: () => void): void {
  write(STANDARD_OUTPUT, text, (err) => {
    // A failure of standard output cannot be reported anywhere; the process continues to serve.
    if (err !== null && err.code === 'EAGAIN') setTimeout(done, 10);
    else done();
  });
}

/**
 * Structured log: writes one JSON object per line. The rate of each event and the size of the
 * buffer for a slow reader are limited; how many lines were left out is written in a later line.
 */
export class EventLog {
  /** @internal */
  private pending: string[] = [];

  /** @internal */
  private pendingBytes = 0;

  /** @internal */
  private isWriting = false;

  /** @internal */
  private droppedLines = 0;

  /** @internal */
  private readonly rateLimits = new Map<string, EventRateLimit>();

  /**
   * @param source - Name of the VM, written in each line.
   * @param parts - Output and clocks.
   */
  constructor(
    private readonly source: string,
    private readonly parts: EventLogParts,
  ) {}

  /**
   * Writes a line.
   * @param event - Name of the event, as `part.whatHappened`.
   * @param fields - Inputs of a decision, their age or version, and the outcome.
   * @example
   * log.write('store.back', { ageMs: 4200 });
   */
  write(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    const suppressed = this.takeToken(event);
    if (suppressed === undefined) return;
    const line = { time: this.getTime(), vm: this.source, event, ...fields };
    this.enqueue(`${JSON.stringify(suppressed > 0 ? { ...line, leftOut: suppressed } : line)}\n`);
  }

  /**
   * Waits until all lines are written.
   * @param timeoutMs - Longest time to wait, in milliseconds.
   */
  async flush(timeoutMs: number): Promise<void> {
    const deadline = this.parts.now() + timeoutMs;
    while ((this.isWriting || this.pending.length > 0) && this.parts.now() < deadline) {
      await new Promise((resolve) => {
        setTimeout(resolve, 2);
      });
    }
  }

  /** @internal */
  private getTime(): string {
    return new Date(this.parts.wallNow()).toISOString();
  }

  /**
   * Takes a token for a line of the event. Returns the number of lines suppressed before it, or
   * undefined if this line is suppressed too.
   * @internal
   */
  private takeToken(event: string): number | undefined {
    const now = this.parts.now();
    const rateLimit = this.rateLimits.get(event) ?? {
      tokens: EVENT_BURST_LINES,
      refilledAt: now,
      suppressed: 0,
    };
    const refill = ((now - rateLimit.refilledAt) / 1_000) * EVENT_LINES_PER_SECOND;
    rateLimit.tokens = Math.min(EVENT_BURST_LINES, rateLimit.tokens + refill);
    rateLimit.refilledAt = now;
    this.rateLimits.set(event, rateLimit);
    if (rateLimit.tokens < 1) {
      rateLimit.suppressed += 1;
      return undefined;
    }
    rateLimit.tokens -= 1;
    const { suppressed } = rateLimit;
    rateLimit.suppressed = 0;
    return suppressed;
  }

  /** @internal */
  private enqueue(text: string): void {
    if (this.pendingBytes + text.length > MAX_PENDING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.pending.push(text);
    this.pendingBytes += text.length;
    if (!this.isWriting) this.writePending();
  }

  /** @internal */
  private writePending(): void {
    if (this.pending.length === 0) return;
    if (this.droppedLines > 0) {
      const line = {
        time: this.getTime(),
        vm: this.source,
        event: 'log.dropped',
        lines: this.droppedLines,
      };
      this.pending.push(`${JSON.stringify(line)}\n`);
      this.droppedLines = 0;
    }
    const text = this.pending.join('');
    this.pending = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.parts.write(text, () => {
      this.isWriting = false;
      this.writePending();
    });
  }
}
