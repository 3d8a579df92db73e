import type { Socket } from 'node:net';

import { buildConnector } from 'undici';

/**
 * Within one region a connection is established in about a millisecond; one that takes much longer
 * indicates a fault.
 */
const CONNECT_TIMEOUT_MS = 500;

/** The connection of one client, and whether its target has reset it. */
export class TargetConnection {
  /** Whether the latest connection was reset; known when its last answer ends. */
  wasReset = false;

  /** @internal */
  private readonly connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

  /** Establishes the connection. */
  readonly connect: buildConnector.connector = (options, callback) => {
    this.connector(options, (...result) => {
      const [err, socket] = result;
      if (err === null) this.watch(socket);
      callback(...result);
    });
  };

  /**
   * The listeners run before those of undici, which takes the answer for complete.
   * @internal
   */
  private watch(socket: Socket): void {
    this.wasReset = false;
    socket.prependListener('error', () => {
      this.wasReset = true;
    });
    // A reset that arrives together with the last bytes is reported as an ordinary end. A write
    // distinguishes the two: after a reset it fails at once. Servers ignore the empty line.
    socket.prependListener('end', () => {
      socket.write('\r\n');
      if (socket.errored !== null) this.wasReset = true;
    });
  }
}
