import { write } from 'node:fs';

/** What is written may wait in memory up to this size, in bytes, while the reader stalls. */
const MOST_WAITING = 256 * 1024;

/** Lines of one event a second, and at once after a lull. */
const LINES_PER_SECOND = 60;
const LINES_AT_ONCE = 120;

const STANDARD_OUTPUT = 1;

interface EventAllowance {
  left: number;
  at: number;
  leftOut: number;
}

/** Where lines go, and what time it is; replaced in tests. */
export interface EventLogParts {
  /** Writes text and calls back once that is done. */
  write(text: string, done: () => void): void;
  /** Monotonic milliseconds. */
  now(): number;
  /** Unix milliseconds. */
  wallNow(): number;
}

/**
 * Writes to standard output on a thread of the system's pool: a pipe whose reader stalls would
 * block the one thread that serves requests if it were written to directly.
 */
export function writeStandardOutput(text: string, done: () => void): void {
  write(STANDARD_OUTPUT, text, (err) => {
    // Nobody is left to be told if standard output itself is broken; the process goes on serving.
    if (err !== null && err.code === 'EAGAIN') setTimeout(done, 10);
    else done();
  });
}

/**
 * Structured log lines: one JSON object each. Volume is bounded by event, and what waits for a slow
 * reader by size; what is left out is counted and told.
 */
export class EventLog {
  /** @internal */
  private waiting: string[] = [];

  /** @internal */
  private waitingBytes = 0;

  /** @internal */
  private isWriting = false;

  /** @internal */
  private dropped = 0;

  /** @internal */
  private readonly allowances = new Map<string, EventAllowance>();

  /**
   * @param source - Name of the VM, in each line.
   * @param parts - Where lines go, and what time it is.
   */
  constructor(
    private readonly source: string,
    private readonly parts: EventLogParts,
  ) {}

  /**
   * Writes a line.
   * @param event - What happened, as `part.whatHappened`.
   * @param fields - What was decided by, its age or version, and the outcome.
   * @example
   * log.write('store.back', { awayMs: 4200 });
   */
  write(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    const leftOut = this.take(event);
    if (leftOut === undefined) return;
    const line = { time: this.getTime(), vm: this.source, event, ...fields };
    this.push(`${JSON.stringify(leftOut > 0 ? { ...line, leftOut } : line)}\n`);
  }

  /** Waits until all lines are written, no longer than `mostMs`. */
  async flush(mostMs: number): Promise<void> {
    const endsAt = this.parts.now() + mostMs;
    while ((this.isWriting || this.waiting.length > 0) && this.parts.now() < endsAt) {
      await new Promise((resolve) => {
        setTimeout(resolve, 2);
      });
    }
  }

  /** @internal */
  private getTime(): string {
    return new Date(this.parts.wallNow()).toISOString();
  }

  /** Lines of the event that were left out before this one; undefined if it is left out too. @internal */
  private take(event: string): number | undefined {
    const now = this.parts.now();
    const known = this.allowances.get(event) ?? { left: LINES_AT_ONCE, at: now, leftOut: 0 };
    const gained = ((now - known.at) / 1_000) * LINES_PER_SECOND;
    known.left = Math.min(LINES_AT_ONCE, known.left + gained);
    known.at = now;
    this.allowances.set(event, known);
    if (known.left < 1) {
      known.leftOut += 1;
      return undefined;
    }
    known.left -= 1;
    const { leftOut } = known;
    known.leftOut = 0;
    return leftOut;
  }

  /** @internal */
  private push(text: string): void {
    if (this.waitingBytes + text.length > MOST_WAITING) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(text);
    this.waitingBytes += text.length;
    if (!this.isWriting) this.writeNext();
  }

  /** @internal */
  private writeNext(): void {
    if (this.waiting.length === 0) return;
    if (this.dropped > 0) {
      const line = {
        time: this.getTime(),
        vm: this.source,
        event: 'log.dropped',
        lines: this.dropped,
      };
      this.waiting.push(`${JSON.stringify(line)}\n`);
      this.dropped = 0;
    }
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.parts.write(text, () => {
      this.isWriting = false;
      this.writeNext();
    });
  }
}
