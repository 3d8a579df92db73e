import type { ClientRequest } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/**
 * Connections idle for longer than this are not reused, in milliseconds: the target is about to
 * close them.
 */
const MAX_IDLE_MS = 8_000;

/** Idle connections kept to one target. */
const MAX_IDLE_SOCKETS = 8;

/** Margin by which the timeout in a target's `Keep-Alive` header is shortened, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** A socket of Node's agent, with the part of its current message that is read here. */
interface AgentSocket extends Socket {
  _httpMessage?: { res?: { headers: { 'keep-alive'?: string } } };
}

function getIdleTimeoutMs(socket: AgentSocket): number {
  // eslint-disable-next-line no-underscore-dangle
  const keepAliveHeader = socket._httpMessage?.res?.headers['keep-alive'];
  const seconds = /timeout=(\d+)/.exec(keepAliveHeader ?? '')?.[1];
  if (seconds === undefined) return MAX_IDLE_MS;
  return Math.min(MAX_IDLE_MS, Number(seconds) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS);
}

/** Connection pool of one target. The most recently used idle connection is reused first. */
export class TargetAgent extends Agent {
  /** @param maxSockets - Maximum number of connections to the target. */
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: MAX_IDLE_SOCKETS, scheduling: 'lifo' });
  }

  /**
   * Keeps a connection for reuse, unless the target announces that it closes it at once.
   *
   * A faulty target may send more bytes after its answer, which would be read as the start of the
   * next answer and reach another caller. So a connection that receives data while idle is
   * destroyed.
   */
  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as AgentSocket;
    const idleMs = getIdleTimeoutMs(socket);
    if (idleMs <= 0) return false;
    socket.setTimeout(idleMs);
    socket.on('data', TargetAgent.destroyOnData);
    return super.keepSocketAlive(stream) as unknown as boolean;
  }

  override reuseSocket(stream: Duplex, req: ClientRequest): void {
    const socket = stream as Socket;
    socket.off('data', TargetAgent.destroyOnData);
    socket.setTimeout(0);
    super.reuseSocket(stream, req);
  }

  /** Destroys idle connections; a request sent on one that is dead would be lost. */
  destroyIdle(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  /** @internal */
  private static destroyOnData(this: Socket): void {
    this.destroy();
  }
}
