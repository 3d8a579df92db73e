import type { Socket } from 'node:net';

import type {
  AttemptResult,
  ConnectionFacts,
  SendingFacts,
  SpoiltCheck,
} from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { AnswerHead } from './TargetRequest.js';

/** What a connection to a target or another VM has carried. */
interface ConnectionUse {
  /** When it was first used; monotonic milliseconds. */
  readonly openedAt: number;
  requests: number;
  probes: number;
}

const connectionUses = new WeakMap<Socket, ConnectionUse>();

/**
 * Records that a connection carries one more message, and returns what it carried before.
 * @param socket - The connection.
 * @param kind - What it carries now.
 * @param now - Monotonic milliseconds.
 */
export function recordConnectionUse(
  socket: Socket,
  kind: 'requests' | 'probes',
  now: number,
): Readonly<ConnectionUse> {
  const use = connectionUses.get(socket) ?? { openedAt: now, requests: 0, probes: 0 };
  connectionUses.set(socket, { ...use, [kind]: use[kind] + 1 });
  return use;
}

/** What one request met on its way to a target or to another VM; the evidence for its end. */
export class SendingTrace {
  /** Head of the answer, if one has arrived. */
  head: AnswerHead | undefined;

  /** @internal */
  private socket: Socket | undefined;

  /** @internal */
  private isKept = false;

  /** @internal */
  private isConnected = false;

  /** What the connection had carried before. @internal */
  private use: Readonly<ConnectionUse> | undefined;

  /** Bytes written to the connection before. @internal */
  private earlierBytes = 0;

  /** @param clock - Clock for the age of the connection. */
  constructor(private readonly clock: Clock) {}

  /**
   * Records the connection that the request gets, before anything is written to it.
   * @param socket - The connection; it may not be established yet.
   */
  start(socket: Socket): void {
    this.socket = socket;
    this.use = recordConnectionUse(socket, 'requests', this.clock.now());
    this.isKept = !socket.connecting;
    this.isConnected = !socket.connecting;
    if (this.isConnected) this.earlierBytes = socket.bytesWritten;
    else {
      socket.once('connect', () => {
        this.isConnected = true;
      });
    }
  }

  /**
   * Describes the sending.
   * @param callerRequestId - Id of the request, if its caller gave one.
   * @param kind - How the sending ended.
   * @returns Undefined if it was answered.
   */
  describe(
    callerRequestId: string | undefined,
    kind: AttemptResult['kind'],
  ): SendingFacts | undefined {
    if (kind === 'answered') return undefined;
    const { connection } = this;
    const check = kind === 'spoilt' ? this.findFailedCheck(callerRequestId) : undefined;
    if (this.head === undefined) return { connection, check };
    const { status, callerRequestId: id } = this.head;
    const isOther = id !== undefined && id !== callerRequestId;
    if (isOther) return { status, named: 'other', otherId: id, check, connection };
    return { status, named: id === undefined ? 'none' : 'this', check, connection };
  }

  /** @internal */
  private get connection(): ConnectionFacts | undefined {
    const { socket, use, isKept, isConnected, earlierBytes } = this;
    if (socket === undefined || use === undefined) return undefined;
    return {
      isKept,
      requests: use.requests,
      probes: use.probes,
      ageMs: Math.round(this.clock.now() - use.openedAt),
      // Bytes of a connection that is not established yet are only buffered in this process.
      sentBytes: isConnected ? socket.bytesWritten - earlierBytes : 0,
    };
  }

  /** @internal */
  private findFailedCheck(callerRequestId: string | undefined): SpoiltCheck {
    const { head } = this;
    if (head === undefined) return 'interimAnswers';
    if (head.callerRequestId !== callerRequestId) {
      return head.callerRequestId === undefined ? 'noId' : 'otherId';
    }
    return head.isEncoded ? 'encoded' : 'unsigned';
  }
}
