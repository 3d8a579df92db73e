import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { resetSocket } from './resetSocket.js';

/** How a proxy treats the connections and data that it forwards. */
export type LinkMode =
  | 'sound'
  /** Data is forwarded after `DELAY_MS`. */
  | 'delayed'
  /** Open connections are reset, and new ones as soon as they are accepted. */
  | 'reset'
  /** Data and closes are dropped in both directions; connections stay open. */
  | 'silent'
  /** Data and closes from the far side are dropped. */
  | 'oneWay';

/** Delay of each chunk on a delayed link, in milliseconds. */
const DELAY_MS = 150;

/** TCP proxy between two processes that injects network faults. */
export class FaultProxy {
  /** @internal */
  private mode: LinkMode = 'sound';

  /** @internal */
  private readonly sockets = new Set<Socket>();

  /** @internal */
  private readonly server: Server;

  /** @param target - Address that connections are forwarded to: IP address and port. */
  constructor(private readonly target: string) {
    this.server = createServer((near) => this.accept(near));
  }

  /** Listens on a free loopback port and returns its address: IP address and port. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes the mode of the link, also for open connections. */
  setMode(mode: LinkMode): void {
    this.mode = mode;
    if (mode === 'reset') for (const socket of this.sockets) resetSocket(socket);
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** @internal */
  private accept(near: Socket): void {
    if (this.mode === 'reset') {
      resetSocket(near);
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect({ host, port: Number(port) });
    this.forward(near, far, 'out');
    this.forward(far, near, 'back');
  }

  /** @internal */
  private forward(from: Socket, to: Socket, way: 'out' | 'back'): void {
    this.sockets.add(from);
    from.on('data', (data) => this.deliver(data, to, way));
    from.on('end', () => this.canForward(way) && to.end());
    // Resets and closes are passed on to the other side, as they would be without a proxy.
    from.on('error', () => resetSocket(to));
    from.once('close', () => {
      this.sockets.delete(from);
      if (this.canForward(way)) to.destroySoon();
    });
  }

  /** @internal */
  private deliver(data: Buffer, to: Socket, way: 'out' | 'back'): void {
    if (!this.canForward(way)) return;
    if (this.mode === 'delayed') setTimeout(() => to.write(data), DELAY_MS);
    else to.write(data);
  }

  /** @internal */
  private canForward(way: 'out' | 'back'): boolean {
    return this.mode !== 'silent' && !(this.mode === 'oneWay' && way === 'back');
  }
}
