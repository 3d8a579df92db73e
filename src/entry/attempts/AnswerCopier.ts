import type { StoredAnswer } from '../../core/index.js';

/** Copies an answer while it is relayed, so that it can be stored under the idempotency key. */
export class AnswerCopier {
  /** @internal */
  private chunks: Uint8Array[] = [];

  /** @internal */
  private size = 0;

  /** @internal */
  private status = 0;

  /** @internal */
  private contentType = '';

  /** @param maxBytes - Maximum size of a stored body; a larger body is dropped. */
  constructor(private readonly maxBytes: number) {}

  /**
   * Records the head.
   * @param status - The answer's status.
   * @param contentType - Media type of the body; empty if unknown.
   */
  recordHead(status: number, contentType: string): void {
    this.status = status;
    this.contentType = contentType;
  }

  /**
   * Adds a chunk of the body.
   * @param chunk - The chunk.
   */
  addChunk(chunk: Uint8Array): void {
    this.size += chunk.length;
    if (this.size <= this.maxBytes) this.chunks.push(chunk);
    else this.chunks = [];
  }

  /** Gets the recorded answer, without a body if the body exceeded the maximum size. */
  getStoredAnswer(): StoredAnswer {
    const { status, contentType } = this;
    if (this.size > this.maxBytes) return { status, contentType };
    return { status, contentType, body: Buffer.concat(this.chunks).toString('base64') };
  }
}
