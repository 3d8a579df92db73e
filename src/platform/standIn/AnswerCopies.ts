import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { NOT_EXECUTED_HEADER, REQUEST_ID_HEADER } from '../headers.js';

/** Maximum time after its answer at which a copy is sent, in milliseconds. */
const MAX_DELAY_MS = 300;

/** Share of the copies that are held back until the next caller's request on their connection. */
const HELD_SHARE = 0.5;

/** Second copy of an answer. */
interface AnswerCopy {
  readonly bytes: string;
  readonly isRejection: boolean;
}

/** A connection on which copies may be sent. */
interface CopyConnection {
  /** Answer that the last request on the connection waits for. */
  due: ServerResponse | undefined;
  /** Copies that are sent when the next request of a caller has arrived. */
  readonly held: AnswerCopy[];
  /** Copies that were sent since the last answer, while no request was known to wait. */
  readonly sentIdle: AnswerCopy[];
}

/** Numbers of copies that a target has sent. */
export interface CopyCounts {
  readonly sent: number;
  /** Copies that were sent before the answer to a caller's request on their connection. */
  readonly met: number;
  /** Copies of rejections among those that met a request. */
  readonly metRejections: number;
}

function writeCopy(res: ServerResponse, body: string): AnswerCopy {
  const headers = { ...res.getHeaders(), 'content-length': body.length };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}`);
  const head = [`HTTP/1.1 ${res.statusCode} ${res.statusMessage}`, ...lines].join('\r\n');
  return { bytes: `${head}\r\n\r\n${body}`, isRejection: res.hasHeader(NOT_EXECUTED_HEADER) };
}

/**
 * Sends second copies of a target's answers, late or at the point where the answer to the next
 * request on the connection is expected.
 */
export class AnswerCopies {
  /** Share of the answers that are sent a second time. */
  share = 0;

  /** @internal */
  private readonly totals = { sent: 0, met: 0, metRejections: 0 };

  /** @internal */
  private readonly connections = new WeakMap<Socket, CopyConnection>();

  /**
   * @param random - Uniform in [0, 1).
   * @param onMet - Called when a copy was sent before the answer to a caller's request.
   */
  constructor(
    private readonly random: () => number,
    private readonly onMet: (requestId: string) => void,
  ) {}

  /** Numbers of copies so far. */
  get counts(): CopyCounts {
    return this.totals;
  }

  /**
   * Has to be called when a request has arrived, before it is answered.
   * @param res - Its answer.
   */
  expectAnswer(res: ServerResponse): void {
    const { socket } = res.req;
    const connection = this.getConnection(socket);
    connection.due = res;
    for (const copy of connection.sentIdle.splice(0)) this.countMet(copy, res);
    // On most connections a probe comes next; a copy that meets it breaks no promise to a caller.
    if (res.req.headers[REQUEST_ID_HEADER] === undefined) return;
    for (const copy of connection.held.splice(0)) this.send(socket, copy);
  }

  /**
   * Has to be called when an answer has been written completely.
   * @param res - The answer.
   * @param body - Its body.
   */
  afterAnswer(res: ServerResponse, body: string): void {
    const { socket } = res.req;
    const connection = this.getConnection(socket);
    connection.due = undefined;
    if (this.random() >= this.share) return;
    const copy = writeCopy(res, body);
    if (this.random() < HELD_SHARE) connection.held.push(copy);
    else setTimeout(() => this.send(socket, copy), this.random() * MAX_DELAY_MS).unref();
  }

  /** @internal */
  private getConnection(socket: Socket): CopyConnection {
    const existing = this.connections.get(socket);
    if (existing !== undefined) return existing;
    const created: CopyConnection = { due: undefined, held: [], sentIdle: [] };
    this.connections.set(socket, created);
    return created;
  }

  /** @internal */
  private send(socket: Socket, copy: AnswerCopy): void {
    if (!socket.writable) return;
    const { due, sentIdle, held } = this.getConnection(socket);
    // Within the body of another answer, no receiver could tell the copy from the body.
    if (due?.headersSent === true && !due.writableEnded) {
      held.push(copy);
      return;
    }
    socket.write(copy.bytes);
    this.totals.sent += 1;
    if (due === undefined) sentIdle.push(copy);
    else this.countMet(copy, due);
  }

  /** @internal */
  private countMet({ isRejection }: AnswerCopy, { req }: ServerResponse): void {
    const requestId = req.headers[REQUEST_ID_HEADER];
    if (requestId === undefined) return;
    this.totals.met += 1;
    if (isRejection) this.totals.metRejections += 1;
    this.onMet(String(requestId));
  }
}
