import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** What marks the end of the body: its length, its last chunk, or the close of its connection. */
type Framing = 'length' | 'chunks' | 'close';

/** How an answer ends. */
type AnswerEnd =
  | 'whole'
  /** Whole, after a pause within the body. */
  | 'paused'
  /** The connection is ended within the body. */
  | 'fin'
  /** The connection is reset behind the last bytes sent, with these or some milliseconds later. */
  | 'reset'
  | 'lateReset'
  /** Nothing comes after a part of the body. */
  | 'stalled';

/** How an answer is sent. */
interface AnswerPlan {
  readonly framing: Framing;
  readonly end: AnswerEnd;
}

/** Numbers of the answers that were varied. */
export interface VariedCounts {
  readonly whole: number;
  readonly brokenOff: number;
}

/** An answer to a caller's request. */
export interface VariedAnswer {
  readonly requestId: string;
  readonly status: number;
  /** Its headers, without those of the framing. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
  /** Called when it has been written completely. */
  readonly onWhole: () => void;
}

/** Longest pause within a body, in milliseconds. */
const MAX_PAUSE_MS = 400;

/** Longest time from the last bytes to a late reset, in milliseconds. */
const MAX_RESET_DELAY_MS = 30;

/** Time after which a target gives up an answer that stalls, in milliseconds. */
const STALL_MS = 5_000;

/** Greatest number of bytes that an answer lacks if it is broken off near its end. */
const MAX_MISSING_BYTES = 16;

/** Framings to draw from; the one without a stated end is the most frequent. */
const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'close', 'close'];

/** An answer that ends with its connection cannot be told from a shorter one if that is ended early. */
const ENDS: Readonly<Record<Framing, readonly AnswerEnd[]>> = {
  length: ['whole', 'paused', 'fin', 'reset', 'lateReset', 'stalled'],
  chunks: ['whole', 'paused', 'fin', 'reset', 'lateReset', 'stalled'],
  close: ['whole', 'paused', 'reset', 'lateReset', 'stalled'],
};

/** Sends answers of each framing, whole or broken off within the body. */
export class VariedAnswers {
  /** Share of the answers that are varied. */
  share = 0;

  /** @internal */
  private readonly totals = { whole: 0, brokenOff: 0 };

  /**
   * @param random - Uniform in [0, 1).
   * @param setEndMode - Lets the connection from a port be reset in place of its end: always, or
   *   unless this target has ended it.
   * @param onBrokenOff - Called when an answer is about to be broken off.
   */
  constructor(
    private readonly random: () => number,
    private readonly setEndMode: (remotePort: number, mode: 'resetUnlessEnded' | 'reset') => void,
    private readonly onBrokenOff: (requestId: string) => void,
  ) {}

  /** Numbers so far. */
  get counts(): VariedCounts {
    return this.totals;
  }

  /**
   * Sends an answer in a way that is drawn at random.
   * @param res - The response, of which nothing has been sent.
   * @param answer - The answer.
   * @returns Whether it was sent; false if it is not to be varied.
   */
  trySend(res: ServerResponse, answer: VariedAnswer): boolean {
    if (this.share === 0 || this.random() >= this.share) return false;
    const plan = this.drawPlan();
    const { status, headers, body, requestId, onWhole } = answer;
    const { remotePort = 0 } = res.req.socket;
    // Nobody could tell an ordinary end from that of the whole body, should the target crash.
    this.setEndMode(remotePort, 'reset');
    this.prepare(res, plan.framing, body);
    res.writeHead(status, headers);
    const size = this.drawSize(body);
    res.write(body.slice(0, size));
    if (plan.end === 'whole' || plan.end === 'paused') {
      this.totals.whole += 1;
      const pauseMs = plan.end === 'paused' ? this.random() * MAX_PAUSE_MS : 0;
      setTimeout(() => {
        res.end(body.slice(size), () => this.setEndMode(remotePort, 'resetUnlessEnded'));
        onWhole();
      }, pauseMs);
    } else {
      this.totals.brokenOff += 1;
      this.onBrokenOff(requestId);
      this.breakOff(res.req.socket, plan.end);
    }
    return true;
  }

  /** @internal */
  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)];
  }

  /** @internal */
  private drawPlan(): AnswerPlan {
    const framing = this.pick(FRAMINGS);
    return { framing, end: this.pick(ENDS[framing]) };
  }

  /** Draws the number of bytes before a break, which often is near the end. @internal */
  private drawSize({ length }: string): number {
    const missing = this.random() < 0.5 ? MAX_MISSING_BYTES : length;
    return length - 1 - Math.floor(this.random() * Math.min(missing, length));
  }

  /** @internal */
  private prepare(res: ServerResponse, framing: Framing, body: string): void {
    if (framing === 'length') res.setHeader('Content-Length', body.length);
    if (framing !== 'close') return;
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
    // Servers need not announce that the answer ends with its connection.
    if (this.random() < 0.5) res.removeHeader('Connection');
  }

  /** @internal */
  private breakOff(socket: Socket, end: Exclude<AnswerEnd, 'whole' | 'paused'>): void {
    const { remotePort = 0 } = socket;
    if (end === 'stalled') {
      setTimeout(() => socket.destroy(), STALL_MS).unref();
      return;
    }
    if (end === 'fin') this.setEndMode(remotePort, 'resetUnlessEnded');
    const delayMs = end === 'lateReset' ? 1 + this.random() * MAX_RESET_DELAY_MS : 0;
    setTimeout(() => socket.end(), delayMs);
  }
}
