import type { IncomingMessage } from 'node:http';

import type { CancelTimer, Clock } from '../timing/index.js';
import type { BodyMemory, MemoryReservation } from './BodyMemory.js';

/** Longest wait for memory, in milliseconds; callers give up what is not read after a second. */
const MAX_WAIT_MS = 800;

/** Memory of a body of unknown length: its chunks, and once more as they are joined. */
const UNKNOWN_LENGTH_FACTOR = 2;

/** How reading a body ended. */
export type BodyOutcome =
  | 'complete'
  /** It exceeds what callers may send. */
  | 'tooLarge'
  /** There is no memory for it. */
  | 'noMemory'
  /** It has not arrived in time. */
  | 'late';

/** Limits for reading a body. */
export interface CallerBodyOptions {
  readonly clock: Clock;
  readonly memory: BodyMemory;
  /** Largest body that callers may send, in bytes. */
  readonly maxBytes: number;
  /** When the body must have arrived, in monotonic milliseconds. */
  readonly dueAt: number;
  /** Called before the first byte is read. */
  readonly onReading: () => void;
  /** Called once; not called if the body is given up before. */
  readonly onEnd: (outcome: BodyOutcome) => void;
}

/** Returns the length that the head of a request declares, in bytes; undefined for a chunked body. */
function getDeclaredBytes({ headers }: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/** Reads a request's body into memory that is reserved for it. */
export class CallerBody {
  /** @internal */
  private reservation: MemoryReservation | undefined;

  /** @internal */
  private readonly declaredBytes: number | undefined;

  /** @internal */
  private readonly chunks: Buffer[] = [];

  /** @internal */
  private size = 0;

  /** Holds a body of known length. @internal */
  private whole: Buffer | undefined;

  /** @internal */
  private hasEnded = false;

  /** @internal */
  private stopWaiting: CancelTimer = () => {};

  /**
   * @param req - The request.
   * @param options - Limits and callbacks.
   */
  constructor(
    private readonly req: IncomingMessage,
    private readonly options: CallerBodyOptions,
  ) {
    this.declaredBytes = getDeclaredBytes(req);
  }

  /** Starts to read; waits first if there is no memory at the moment. */
  read(): void {
    const { memory, maxBytes } = this.options;
    const bytes = this.declaredBytes ?? 0;
    if (bytes > maxBytes) {
      this.end('tooLarge');
      return;
    }
    const reservation = memory.tryReserve(bytes);
    if (reservation !== undefined) this.readInto(reservation);
    else if (this.isWorthWaiting(bytes)) this.waitFor(bytes);
    else this.end('noMemory');
  }

  /** The body; empty if the request has none. Complete only after the outcome `complete`. */
  get bytes(): Buffer {
    this.whole ??= this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    return this.whole;
  }

  /** Returns the memory of the body, once nothing sends it any more. */
  release(): void {
    this.reservation?.release();
  }

  /** Gives the body up if it is late. */
  checkTime(): void {
    if (this.options.clock.now() > this.options.dueAt) this.end('late');
  }

  /** Gives up a body that is not complete, as its caller has left or has been answered. */
  abandon(): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.stopWaiting();
    this.discard();
  }

  /** @internal */
  private isWorthWaiting(bytes: number): boolean {
    const { clock, memory, dueAt } = this.options;
    const waitMs = memory.estimateWaitMs(bytes);
    return bytes <= memory.largestBytes && waitMs < MAX_WAIT_MS && clock.now() + waitMs < dueAt;
  }

  /** @internal */
  private waitFor(bytes: number): void {
    const { memory, clock } = this.options;
    const cancelTimer = clock.after(MAX_WAIT_MS, () => this.end('noMemory'));
    const leaveQueue = memory.wait(bytes, (reservation) => {
      cancelTimer();
      this.readInto(reservation);
    });
    this.stopWaiting = () => {
      cancelTimer();
      leaveQueue();
    };
  }

  /** @internal */
  private readInto(reservation: MemoryReservation): void {
    this.reservation = reservation;
    this.options.onReading();
    this.req.on('data', this.addChunk);
    this.req.once('end', () => this.end('complete'));
  }

  /** @internal */
  private readonly addChunk = (chunk: Buffer): void => {
    const at = this.size;
    this.size += chunk.length;
    if (this.declaredBytes === undefined) this.addToChunks(chunk);
    else if (this.size === this.declaredBytes && at === 0) this.whole = chunk;
    else {
      // Not zeroed, so that memory is used only as far as bytes have arrived.
      this.whole ??= Buffer.allocUnsafeSlow(this.declaredBytes);
      chunk.copy(this.whole, at);
    }
  };

  /** @internal */
  private addToChunks(chunk: Buffer): void {
    this.chunks.push(chunk);
    const more = UNKNOWN_LENGTH_FACTOR * chunk.length;
    if (this.size > this.options.maxBytes) this.end('tooLarge');
    else if (this.reservation?.grow(more) !== true) this.end('noMemory');
  }

  /** @internal */
  private end(outcome: BodyOutcome): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.stopWaiting();
    this.req.off('data', this.addChunk);
    if (outcome !== 'complete') this.discard();
    this.options.onEnd(outcome);
  }

  /** @internal */
  private discard(): void {
    this.req.pause();
    this.chunks.length = 0;
    this.whole = Buffer.alloc(0);
    this.release();
  }
}
