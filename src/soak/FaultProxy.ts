import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

import { resetSocket } from './resetSocket.js';

/** What a proxy does with what passes through it. */
export type LinkMood =
  | 'sound'
  /** Each piece comes late. */
  | 'delayed'
  /** New connections and old ones are reset. */
  | 'reset'
  /** Nothing passes, and nobody is told. */
  | 'silent'
  /** What the far side says is lost. */
  | 'oneWay';

/** How late pieces come on a delayed link, in milliseconds. */
const DELAY_MS = 150;

/** A connection between two processes that can be disturbed from outside them. */
export class FaultProxy {
  /** @internal */
  private mood: LinkMood = 'sound';

  /** @internal */
  private readonly sockets = new Set<Socket>();

  /** @internal */
  private readonly server: Server;

  /** @param target - Where connections go: IP number and port. */
  constructor(private readonly target: string) {
    this.server = createServer((near) => this.join(near));
  }

  /** Listens on a free port of loopback; gives IP number and port. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes what the link does, for open connections too. */
  set(mood: LinkMood): void {
    this.mood = mood;
    if (mood === 'reset') for (const socket of this.sockets) resetSocket(socket);
  }

  /** Ends it. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** @internal */
  private join(near: Socket): void {
    if (this.mood === 'reset') {
      resetSocket(near);
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect({ host, port: Number(port) });
    this.pass(near, far, 'out');
    this.pass(far, near, 'back');
  }

  /** @internal */
  private pass(from: Socket, to: Socket, way: 'out' | 'back'): void {
    this.sockets.add(from);
    from.on('data', (data) => this.move(data, to, way));
    from.on('end', () => this.isOpen(way) && to.end());
    // The other side is ended the same way, as if there were no proxy between the two.
    from.on('error', () => resetSocket(to));
    from.once('close', () => {
      this.sockets.delete(from);
      if (this.isOpen(way)) to.destroySoon();
    });
  }

  /** @internal */
  private move(data: Buffer, to: Socket, way: 'out' | 'back'): void {
    if (!this.isOpen(way)) return;
    if (this.mood === 'delayed') setTimeout(() => to.write(data), DELAY_MS);
    else to.write(data);
  }

  /** @internal */
  private isOpen(way: 'out' | 'back'): boolean {
    return this.mood !== 'silent' && !(this.mood === 'oneWay' && way === 'back');
  }
}
