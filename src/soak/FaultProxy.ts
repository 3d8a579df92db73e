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
  /** Open connections live on, and new ones are reset. */
  | 'newReset'
  /** Data and closes from the far side are dropped. */
  | 'oneWay'
  /**
   * Nothing is read, as if the far side's process were suspended: its kernel takes connections and
   * data, which are forwarded when the mode changes.
   */
  | 'suspended'
  /** Data to the far side is forwarded after `LATE_MS`, as after a retransmission. */
  | 'late';

/** Delay of each chunk on a delayed link, in milliseconds. */
const DELAY_MS = 150;

/** Delay of each chunk to the far side of a late link, in milliseconds. */
const LATE_MS = 400;

const DELAYS_MS = {
  out: { delayed: DELAY_MS, late: LATE_MS },
  back: { delayed: DELAY_MS },
} as const satisfies Readonly<Record<string, Partial<Readonly<Record<LinkMode, number>>>>>;

/** Time until the other side of a connection is closed if it must not see the close, in ms. */
const CLOSE_DELAY_MS = 3_000;

/** How a connection ends on the near side: by a reset, unless the far side has ended it or always. */
export type EndMode = 'resetUnlessEnded' | 'reset';

/** TCP proxy between two processes that injects network faults. */
export class FaultProxy {
  /** @internal */
  private mode: LinkMode = 'sound';

  /** Modes for the connections of single sources, by IP address. @internal */
  private readonly modesBySource = new Map<string, LinkMode>();

  /** @internal */
  private readonly sockets = new Map<Socket, string>();

  /** Near sides of connections, by their far sides. @internal */
  private readonly nearByFar = new WeakMap<Socket, Socket>();

  /** How connections end, by their near sides; as the far side ends them by default. @internal */
  private readonly endModes = new WeakMap<Socket, EndMode>();

  /** Near sides of connections with an end mode to which bytes were not forwarded. @internal */
  private readonly withGaps = new WeakSet<Socket>();

  /** Delayed actions, by the connection that they write to. @internal */
  private readonly delayed = new WeakMap<Socket, (() => void)[]>();

  /** Connections that were opened while the link was suspended. @internal */
  private readonly queue: Socket[] = [];

  /** @internal */
  private readonly server: Server;

  /** @param target - Address that connections are forwarded to: IP address and port. */
  constructor(private readonly target: string) {
    this.server = createServer({ pauseOnConnect: true }, (near) => this.accept(near));
  }

  /** Port that connections are forwarded to. */
  get targetPort(): number {
    return Number(this.target.split(':')[1]);
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
    if (mode === 'reset') for (const socket of this.sockets.keys()) resetSocket(socket);
    for (const socket of this.sockets.keys()) {
      if (mode === 'suspended') socket.pause();
      else socket.resume();
    }
    if (mode !== 'suspended') for (const near of this.queue.splice(0)) this.accept(near);
  }

  /**
   * Changes the mode for the connections of one source.
   * @param source - IP address of the source.
   * @param mode - The mode; undefined for that of the link.
   */
  setModeFor(source: string, mode: LinkMode | undefined): void {
    if (mode === undefined) this.modesBySource.delete(source);
    else this.modesBySource.set(source, mode);
    if (mode !== 'reset') return;
    for (const [socket, each] of this.sockets) if (each === source) resetSocket(socket);
  }

  /**
   * Changes how a connection ends on the near side. An answer that ends with its connection must not
   * end in an orderly way with bytes missing, should the far side crash or the link be stopped; and a
   * reset by the far side that came together with the last bytes would be read as an ordinary end.
   * @param localPort - Port of the connection to the far side, as the far side sees it.
   * @param mode - How it ends, behind all its bytes.
   */
  setEndMode(localPort: number, mode: EndMode): void {
    for (const far of this.sockets.keys()) {
      const near = this.nearByFar.get(far);
      if (near !== undefined && far.localPort === localPort) this.endModes.set(near, mode);
    }
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets.keys()) {
      if (this.endModes.has(socket)) resetSocket(socket);
      else socket.destroy();
    }
  }

  /** @internal */
  private accept(near: Socket): void {
    const source = near.remoteAddress ?? '';
    const mode = this.getMode(source);
    if (mode === 'suspended') {
      this.queue.push(near);
      return;
    }
    near.resume();
    if (mode === 'reset' || mode === 'newReset') {
      resetSocket(near);
      return;
    }
    if (mode === 'silent') {
      this.hold(near, source);
      return;
    }
    const [host, port] = this.target.split(':');
    // The far side sees whose connection it is.
    const far = connect({ host, port: Number(port), localAddress: near.remoteAddress });
    this.nearByFar.set(far, near);
    this.forward(near, far, source, 'out');
    this.forward(far, near, source, 'back');
  }

  /** Keeps a connection open until its opener closes it. @internal */
  private hold(near: Socket, source: string): void {
    this.sockets.set(near, source);
    near.on('error', () => near.destroy());
    near.once('close', () => this.sockets.delete(near));
    near.resume();
  }

  /** @internal */
  private getMode(source: string): LinkMode {
    return this.modesBySource.get(source) ?? this.mode;
  }

  /** @internal */
  private forward(from: Socket, to: Socket, source: string, way: 'out' | 'back'): void {
    this.sockets.set(from, source);
    from.on('data', (data) => this.deliver(data, to, source, way));
    from.on('end', () => {
      if (!this.canForward(source, way)) return;
      this.runDelayed(to, source, way, () => {
        if (this.mustReset(to)) resetSocket(to);
        else to.end();
      });
    });
    // Resets and closes are passed on to the other side, as they would be without a proxy.
    from.on('error', () => resetSocket(to));
    from.once('close', () => {
      this.sockets.delete(from);
      const isEarly = this.endModes.has(to) && !from.readableEnded;
      const isReset = isEarly || this.mustReset(to);
      if (this.canForward(source, way)) {
        this.runDelayed(to, source, way, () => (isReset ? resetSocket(to) : to.destroySoon()));
      }
      // The far side does not see the close, but the socket must not be kept for ever.
      else {
        const close = (): void => {
          if (isReset) resetSocket(to);
          else to.destroy();
        };
        setTimeout(close, CLOSE_DELAY_MS).unref();
      }
    });
  }

  /** @internal */
  private deliver(data: Buffer, to: Socket, source: string, way: 'out' | 'back'): void {
    if (!this.canForward(source, way)) {
      if (this.endModes.has(to)) this.withGaps.add(to);
      return;
    }
    // Behind a gap, the rest would be taken for the whole.
    if (this.withGaps.has(to)) return;
    this.runDelayed(to, source, way, () => to.writable && to.write(data));
  }

  /** Whether a connection must be reset in place of its end. @internal */
  private mustReset(near: Socket): boolean {
    return this.endModes.get(near) === 'reset' || this.withGaps.has(near);
  }

  /**
   * Runs an action after the delay of the link, in the order of the calls, also if the delay has
   * ended meanwhile.
   * @internal
   */
  private runDelayed(to: Socket, source: string, way: 'out' | 'back', action: () => void): void {
    const delaysMs: Partial<Record<LinkMode, number>> = DELAYS_MS[way];
    const delayMs = delaysMs[this.getMode(source)];
    const queue = this.delayed.get(to) ?? [];
    if (delayMs === undefined && queue.length === 0) {
      action();
      return;
    }
    this.delayed.set(to, queue);
    queue.push(action);
    setTimeout(() => queue.shift()?.(), delayMs ?? DELAY_MS);
  }

  /** @internal */
  private canForward(source: string, way: 'out' | 'back'): boolean {
    const mode = this.getMode(source);
    return mode !== 'silent' && !(mode === 'oneWay' && way === 'back');
  }
}
