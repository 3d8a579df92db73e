import { Readable } from 'node:stream';

import type { IncomingPeerCall } from '../../peers/index.js';

/** A forwarded request's body as it comes in frames, no faster than it is read. */
export class FrameBody extends Readable {
  /** @param call - The call that the frames come by. */
  constructor(private readonly call: IncomingPeerCall) {
    super();
  }

  // eslint-disable-next-line no-underscore-dangle -- node's name for what a stream overrides.
  override _read(): void {
    this.call.resume();
  }

  /**
   * Takes a frame's bytes.
   * @param data - The bytes.
   */
  takeBytes(data: Uint8Array): void {
    const chunk = Buffer.from(data.buffer, data.byteOffset, data.byteLength);
    if (!this.push(chunk)) this.call.pause();
  }

  /** The body is whole. */
  finish(): void {
    this.push(null);
  }
}
