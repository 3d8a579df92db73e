import { Readable } from 'node:stream';

import type { IncomingPeerCall } from '../../peers/index.js';

/** The body of a forwarded request, read from its frames with backpressure. */
export class FrameBody extends Readable {
  /** @param call - The call that delivers the frames. */
  constructor(private readonly call: IncomingPeerCall) {
    super();
  }

  // eslint-disable-next-line no-underscore-dangle -- Node's name for an overridable stream method.
  override _read(): void {
    this.call.resume();
  }

  /**
   * Pushes the bytes of a frame.
   * @param data - The bytes.
   */
  pushBytes(data: Uint8Array): void {
    const chunk = Buffer.from(data.buffer, data.byteOffset, data.byteLength);
    if (!this.push(chunk)) this.call.pause();
  }

  /** Ends the stream, once the body is complete. */
  finish(): void {
    this.push(null);
  }
}
