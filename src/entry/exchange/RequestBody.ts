import type { Readable } from 'node:stream';

import { StreamedBody } from './StreamedBody.js';

/** Size limits of a request's body, in bytes. */
export interface BodyBounds {
  /** Maximum size; a larger body is refused. */
  readonly bodyBytes: number;
  /** Maximum size of a body that is buffered, so that it can be sent again. */
  readonly replayBytes: number;
}

/** Outcome of collecting a body. */
export type CollectOutcome =
  /** `ready`: the body is complete, or its first part exceeds `replayBytes`; the rest is unread. */
  'ready' | 'tooLarge';

/**
 * A request's body. Up to `replayBytes` of it are collected before the core learns of the request,
 * so that a caller with a slow connection doesn't occupy a slot of a target while it sends a small
 * body.
 */
export class RequestBody {
  /** @internal */
  private readonly chunks: Buffer[] = [];

  /** @internal */
  private size = 0;

  /** @internal */
  private isWhole: boolean;

  /** @internal */
  private hasStartedStreaming = false;

  /** @internal */
  private wholeBuffer: Buffer | undefined;

  /**
   * @param source - Stream of the body; undefined if the request has none.
   * @param bounds - Size limits.
   * @param contentLength - Size that the request's head declares, if it does.
   */
  constructor(
    private readonly source: Readable | undefined,
    private readonly bounds: BodyBounds,
    readonly contentLength?: number,
  ) {
    this.isWhole = source === undefined;
  }

  /**
   * Creates a body that is already complete.
   * @param bytes - The body; empty if the request has none.
   * @param bounds - Size limits.
   */
  static fromWhole(bytes: Buffer, bounds: BodyBounds): RequestBody {
    const body = new RequestBody(undefined, bounds, bytes.length);
    body.wholeBuffer = bytes;
    return body;
  }

  /** Whether the body can be sent again from the beginning. */
  get isReplayable(): boolean {
    return !this.hasStartedStreaming;
  }

  /** Whether the size that the request's head declares exceeds the limit. */
  get isDeclaredTooLarge(): boolean {
    return this.contentLength !== undefined && this.contentLength > this.bounds.bodyBytes;
  }

  /**
   * Reads the first part of the body, or all of it if it fits into `replayBytes`.
   * @param shouldBeWhole - Whether a body that doesn't fit into `replayBytes` is too large.
   * @param done - Called once with the outcome; never called if the caller disconnects before.
   */
  collect(shouldBeWhole: boolean, done: (outcome: CollectOutcome) => void): void {
    const { source } = this;
    if (source === undefined) {
      done('ready');
      return;
    }
    let hasFinished = false;
    const finish = (outcome: CollectOutcome): void => {
      hasFinished = true;
      done(outcome);
    };
    const onData = (chunk: Buffer): void => {
      if (hasFinished) return;
      this.chunks.push(chunk);
      this.size += chunk.length;
      if (this.size <= this.bounds.replayBytes) return;
      source.off('data', onData);
      source.pause();
      finish(shouldBeWhole || this.size > this.bounds.bodyBytes ? 'tooLarge' : 'ready');
    };
    source.on('data', onData);
    source.once('end', () => {
      if (hasFinished) return;
      this.isWhole = true;
      finish('ready');
    });
  }

  /** Gets the whole body; undefined if it isn't complete. Empty if the request has none. */
  getWhole(): Buffer | undefined {
    if (!this.isWhole) return undefined;
    this.wholeBuffer ??= this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    return this.wholeBuffer;
  }

  /**
   * Opens the body for one attempt: null if there is none, a buffer if it is complete, otherwise a
   * stream.
   * @param onTooLarge - Called if the body exceeds `bodyBytes` while it is sent.
   */
  open(onTooLarge: () => void): Buffer | Readable | null {
    const whole = this.getWhole();
    if (whole !== undefined) return whole.length === 0 ? null : whole;
    return new StreamedBody({
      prefix: this.chunks,
      source: this.source as Readable,
      maxBytes: this.bounds.bodyBytes,
      onStreamingStarted: () => {
        this.hasStartedStreaming = true;
      },
      onTooLarge,
    });
  }
}
