import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Server as NetServer } from 'node:net';

import type { ListenAddress } from '../../config/index.js';
import { createListenError } from '../errors.js';
import type { ClientError } from '../exchange/clientErrors.js';
import { answerConnect } from '../exchange/clientErrors.js';
import { getProblemHeaders, writeProblemBody } from '../exchange/problem.js';
import { CallerConnection } from './CallerConnection.js';

/** Where callers connect, and bounds on what they may take up. */
export interface CallerServerOptions {
  readonly listen: ListenAddress;
  /** Larger request heads are refused, in bytes. */
  readonly headerBytes: number;
  readonly maxConnections: number;
}

/**
 * Takes a request. `awaitsContinue` says that its caller sends the body only when told to, `heldMs`
 * how long ago it was read: the time that its caller allows has run since then.
 */
export type CallerHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  awaitsContinue: boolean,
  heldMs: number,
) => void;

/** Time that a caller has for a request's head, in milliseconds. */
const HEAD_TIMEOUT_MS = 10_000;

/** Callers' idle connections are kept longer than callers usually keep theirs, in milliseconds. */
const KEEP_ALIVE_MS = 65_000;

const RETRY_AFTER_MS = 100;

function answerStarting(_req: IncomingMessage, res: ServerResponse): void {
  const problem = {
    status: 503,
    outcome: 'not-run' as const,
    code: 'no-capacity' as const,
    detail: 'the entry VM is starting',
    retryAfterMs: RETRY_AFTER_MS,
  };
  const body = writeProblemBody(problem);
  res.writeHead(problem.status, getProblemHeaders(problem, body.length));
  res.end(body);
}

/** The HTTP server that callers and operators connect to. */
export class CallerServer {
  /** Takes each request; until it is set, requests are told that the process is starting. */
  handle: CallerHandler = answerStarting;

  /** @internal */
  private readonly server: Server;

  /** @internal */
  private readonly connections = new Map<Socket, CallerConnection>();

  /** @internal */
  private isStopping = false;

  /** @internal */
  private constructor(options: CallerServerOptions) {
    this.server = createServer({
      maxHeaderSize: options.headerBytes,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true,
    });
    this.server.maxConnections = options.maxConnections;
    this.server.on('request', (req: IncomingMessage, res: ServerResponse) => {
      this.take(req, res, false);
    });
    // Without this, node tells a caller to send its body before its request is looked at.
    this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
      this.take(req, res, true);
    });
    this.server.on('connection', (socket: Socket) => this.open(socket));
    this.server.on('clientError', (err: ClientError, socket: Socket) => {
      this.connections.get(socket)?.refuse(err);
    });
    this.server.on('connect', answerConnect);
  }

  /**
   * Starts to listen; throws `StartError` if the address is not free.
   * @param options - Where, and within which bounds.
   */
  static async listen(options: CallerServerOptions): Promise<CallerServer> {
    const callerServer = new CallerServer(options);
    const { server } = callerServer;
    const { host, port } = options.listen;
    await new Promise<void>((resolve, reject) => {
      server.once('error', (error) => reject(createListenError(`${host}:${port}`, error)));
      server.listen(port, host, () => resolve());
    });
    return callerServer;
  }

  /** IP number and port. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /**
   * From now on each connection ends with its last answer. A caller that kept one until the process
   * ends could send a request into it just as it closes, and would not know whether the request ran.
   */
  endKeepAlive(): void {
    this.isStopping = true;
    for (const connection of this.connections.values()) connection.endKeepAlive();
  }

  /**
   * Changes how long connections may be idle, those that are open included.
   * @param idleMs - Milliseconds.
   */
  setIdleTimeout(idleMs: number): void {
    if (this.server.keepAliveTimeout === idleMs) return;
    this.server.keepAliveTimeout = idleMs;
    for (const [socket, { isIdle }] of this.connections) if (isIdle) socket.setTimeout(idleMs);
  }

  /** Takes no new connections; those that are there go on. */
  stopListening(): void {
    // The HTTP server's own `close` also ends idle connections, in which a request may lie unread.
    NetServer.prototype.close.call(this.server);
  }

  /** Ends all connections at once. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @internal */
  private open(socket: Socket): void {
    this.connections.set(socket, new CallerConnection(socket));
    socket.once('close', () => this.connections.delete(socket));
  }

  /** @internal */
  private take(req: IncomingMessage, res: ServerResponse, awaitsContinue: boolean): void {
    const connection = this.connections.get(req.socket);
    connection?.take(res, this.isStopping, (heldMs) =>
      this.handle(req, res, awaitsContinue, heldMs),
    );
  }
}
