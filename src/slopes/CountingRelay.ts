import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Passes TCP bytes on unchanged and counts them both ways; loopback only. */
export class CountingRelay {
  /** Bytes from the one that connects, with all framing above TCP. */
  sent = 0;

  /** Bytes back to it. */
  received = 0;

  /** @internal */
  private readonly sockets = new Set<Socket>();

  /** @internal */
  private readonly server: Server;

  /** @param port - Where the bytes are to go. */
  private constructor(port: number) {
    this.server = createServer((near) => {
      const far = connect(port, LOOPBACK);
      for (const socket of [near, far]) {
        this.sockets.add(socket);
        socket.on('error', () => socket.destroy());
      }
      near.on('data', (chunk) => {
        this.sent += chunk.length;
        far.write(chunk);
      });
      far.on('data', (chunk) => {
        this.received += chunk.length;
        near.write(chunk);
      });
    });
  }

  /**
   * Starts a relay on a free port.
   * @param port - Where the bytes are to go.
   */
  static async start(port: number): Promise<CountingRelay> {
    const relay = new CountingRelay(port);
    await new Promise<void>((resolve) => {
      relay.server.listen(0, LOOPBACK, resolve);
    });
    return relay;
  }

  /** IP number and port to connect to. */
  get address(): string {
    return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Breaks all connections and listens no more. */
  stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
