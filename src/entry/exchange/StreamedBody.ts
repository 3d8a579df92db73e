import { Readable } from 'node:stream';

/** Input for a streamed body. */
export interface StreamedBodyParts {
  /** The chunks already read; kept, so that an attempt that sent nothing can be repeated. */
  readonly prefix: readonly Buffer[];
  /** Stream of the remaining body; paused. */
  readonly source: Readable;
  readonly maxBytes: number;
  /** Called when the remaining body starts to be read; from then on it can't be sent again. */
  readonly onStreamingStarted: () => void;
  readonly onTooLarge: () => void;
}

/** A large request body that is streamed to a target or peer with backpressure. */
export class StreamedBody extends Readable {
  /** @internal */
  private nextChunk = 0;

  /** @internal */
  private size: number;

  /** @internal */
  private isAttached = false;

  /** @param parts - The chunks already read, and the stream of the rest. */
  constructor(private readonly parts: StreamedBodyParts) {
    super();
    this.size = parts.prefix.reduce((sum, chunk) => sum + chunk.length, 0);
  }

  // eslint-disable-next-line no-underscore-dangle -- Node's name for an overridable stream method.
  override _read(): void {
    const { prefix, source } = this.parts;
    while (this.nextChunk < prefix.length) {
      const chunk = prefix[this.nextChunk];
      this.nextChunk += 1;
      if (!this.push(chunk)) return;
    }
    if (!this.isAttached) this.attach();
    source.resume();
  }

  // eslint-disable-next-line no-underscore-dangle -- Node's name for an overridable stream method.
  override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    const { source } = this.parts;
    source.off('data', this.onData);
    source.off('end', this.onEnd);
    source.off('close', this.onClose);
    if (this.isAttached) source.pause();
    callback(error);
  }

  /** @internal */
  private attach(): void {
    const { source, onStreamingStarted } = this.parts;
    this.isAttached = true;
    onStreamingStarted();
    source.on('data', this.onData);
    source.on('end', this.onEnd);
    source.on('close', this.onClose);
  }

  /** @internal */
  private readonly onData = (chunk: Buffer): void => {
    this.size += chunk.length;
    if (this.size > this.parts.maxBytes) {
      this.destroy(new Error('the request body exceeds the size limit'));
      this.parts.onTooLarge();
      return;
    }
    if (!this.push(chunk)) this.parts.source.pause();
  };

  /** @internal */
  private readonly onEnd = (): void => {
    this.push(null);
  };

  /** If the caller disconnects mid-body, a clean end would make the partial body look complete. */
  private readonly onClose = (): void => {
    if (!this.readableEnded && !this.parts.source.readableEnded) {
      this.destroy(new Error('the caller disconnected while it sent the request body'));
    }
  };
}
