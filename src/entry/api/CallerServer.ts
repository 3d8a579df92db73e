import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Server as NetServer } from 'node:net';
import type { Duplex } from 'node:stream';

import type { ListenAddress } from '../../config/index.js';
import { createListenError } from '../errors.js';
import type { ClientError } from '../exchange/clientErrors.js';
import { refuseWithoutHost } from '../exchange/clientErrors.js';
import { getProblemHeaders, writeProblemBody } from '../exchange/problem.js';
import { CallerConnection } from './CallerConnection.js';

/** Listen address of the caller server, and limits on callers. */
export interface CallerServerOptions {
  readonly listen: ListenAddress;
  /** Maximum size of a request's head, in bytes. */
  readonly headerBytes: number;
  readonly maxConnections: number;
}

/**
 * Handles a request. `hasExpectContinue` means that the caller sends the body only after a
 * `100 Continue`. `queuedMs` is the time since the request was read, in milliseconds; it counts
 * towards the request's deadline.
 */
export type CallerHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  hasExpectContinue: boolean,
  queuedMs: number,
) => void;

/** Time limit for a caller to send a request's head, in milliseconds. */
const HEAD_TIMEOUT_MS = 10_000;

/**
 * Idle timeout of caller connections, in milliseconds. It is longer than the usual idle timeout of
 * HTTP clients, so that callers close idle connections first.
 */
const KEEP_ALIVE_MS = 65_000;

const RETRY_AFTER_MS = 100;

function refuseWhileStarting(_req: IncomingMessage, res: ServerResponse): void {
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
  /** Handles each request; until it is set, requests are answered that the process is starting. */
  handle: CallerHandler = refuseWhileStarting;

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
      // Node would answer by itself and close the connection, while requests behind it are accepted.
      requireHostHeader: false,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true,
    });
    this.server.maxConnections = options.maxConnections;
    this.server.on('request', (req: IncomingMessage, res: ServerResponse) => {
      this.acceptRequest(req, res, false);
    });
    // Without this handler, Node sends `100 Continue` before the request is checked.
    this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
      this.acceptRequest(req, res, true);
    });
    this.server.on('connection', (socket: Socket) => this.addConnection(socket));
    this.server.on('clientError', (err: ClientError, socket: Socket) => {
      this.connections.get(socket)?.handleParserError(err);
    });
    this.server.on('connect', (_req: IncomingMessage, socket: Duplex) => {
      this.connections.get(socket as Socket)?.refuseConnect();
    });
  }

  /**
   * Starts to listen; throws `StartError` if the address can't be listened on.
   * @param options - Listen address and limits.
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

  /** Listen address, as `IP:port`. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /**
   * Makes every connection close with the answer to its latest request. On a connection kept alive
   * until the process exits, a caller could send a request just as it closes, and would not know
   * whether the request ran.
   */
  endKeepAlive(): void {
    this.isStopping = true;
    for (const connection of this.connections.values()) connection.endKeepAlive();
  }

  /**
   * Sets the idle timeout of connections, including those that are already open.
   * @param idleMs - The timeout in milliseconds.
   */
  setIdleTimeout(idleMs: number): void {
    if (this.server.keepAliveTimeout === idleMs) return;
    this.server.keepAliveTimeout = idleMs;
    for (const [socket, { isIdle }] of this.connections) if (isIdle) socket.setTimeout(idleMs);
  }

  /** Stops accepting connections; the open ones stay open. */
  stopListening(): void {
    // `close` of the HTTP server also closes idle connections, which may hold an unread request.
    NetServer.prototype.close.call(this.server);
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** @internal */
  private addConnection(socket: Socket): void {
    this.connections.set(socket, new CallerConnection(socket));
    socket.once('close', () => this.connections.delete(socket));
  }

  /** @internal */
  private acceptRequest(
    req: IncomingMessage,
    res: ServerResponse,
    hasExpectContinue: boolean,
  ): void {
    const connection = this.connections.get(req.socket);
    const isHostMissing = req.headers.host === undefined && req.httpVersion === '1.1';
    // Node closes such a connection behind an answer without a length, which is not known yet.
    const isOldCaller = req.httpVersion === '1.0';
    const isFinal = this.isStopping || isHostMissing || isOldCaller;
    connection?.acceptRequest(res, isFinal, (queuedMs) => {
      if (isHostMissing) refuseWithoutHost(req, res);
      else this.handle(req, res, hasExpectContinue, queuedMs);
    });
  }
}
