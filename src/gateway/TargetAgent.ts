import type { ClientRequest } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** A connection idle for longer is not used again, in milliseconds: targets close theirs soon. */
const IDLE_MOST_MS = 8_000;

/** Idle connections that are kept to one target. */
const IDLE_MOST = 8;

/** A target's own word on when it closes idle connections is undercut by this, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Node's agent sets the message that a socket carries; what of it is read here. */
interface CarryingSocket extends Socket {
  _httpMessage?: { res?: { headers: { 'keep-alive'?: string } } };
}

function getIdleMs(socket: CarryingSocket): number {
  // eslint-disable-next-line no-underscore-dangle
  const hint = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = /timeout=(\d+)/.exec(hint ?? '')?.[1];
  if (seconds === undefined) return IDLE_MOST_MS;
  return Math.min(IDLE_MOST_MS, Number(seconds) * MS_PER_SECOND - IDLE_MARGIN_MS);
}

/** Connections to one target, the one used last taken first. */
export class TargetAgent extends Agent {
  /** @param maxSockets - Connections to the target at the most. */
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: IDLE_MOST, scheduling: 'lifo' });
  }

  /**
   * Keeps a connection unless the target closes it at once.
   *
   * A faulty target may send more bytes after its answer; read as the start of the next answer they
   * would be given to another caller. So a connection that says anything while idle is ended.
   */
  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as CarryingSocket;
    const idleMs = getIdleMs(socket);
    if (idleMs <= 0) return false;
    socket.setTimeout(idleMs);
    socket.on('data', TargetAgent.endTalkative);
    return super.keepSocketAlive(stream) as unknown as boolean;
  }

  override reuseSocket(stream: Duplex, req: ClientRequest): void {
    const socket = stream as Socket;
    socket.off('data', TargetAgent.endTalkative);
    socket.setTimeout(0);
    super.reuseSocket(stream, req);
  }

  /** Ends idle connections: one that went silent would take the next request with it. */
  dropIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** @internal */
  private static endTalkative(this: Socket): void {
    this.destroy();
  }
}
