import type { IncomingMessage, RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Listening address of a stand-in. */
export interface StandInListenOptions {
  /** IP address to listen on; 127.0.0.1 by default. */
  readonly host?: string;
  /** Port to listen on; 0, the default, selects any free port. */
  readonly port?: number;
}

const DEFAULT_HOST = '127.0.0.1';

/** An HTTP server, on loopback by default, that can refuse connections for a limited time. */
export class StandInServer {
  /** @internal */
  private constructor(private readonly server: Server) {}

  /**
   * Creates a server and starts listening.
   * @param listen - Address to listen on.
   * @param handler - Handles each request.
   * @throws If the address can't be bound.
   */
  static async start(
    listen: StandInListenOptions,
    handler: RequestListener,
  ): Promise<StandInServer> {
    const server = new StandInServer(createServer({ keepAliveTimeout: 60_000 }, handler));
    await server.listen(listen.host ?? DEFAULT_HOST, listen.port ?? 0);
    return server;
  }

  /** IP address and port. */
  get address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /**
   * Closes all connections and refuses new ones for a limited time, like a process that restarts.
   * @param forMs - Time until it listens again, in milliseconds.
   */
  refuse(forMs: number): void {
    const { address, port } = this.server.address() as AddressInfo;
    this.stop()
      .then(() => setTimeout(() => this.listen(address, port).catch(() => {}), forMs))
      .catch(() => {});
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    if (!this.server.listening) return;
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    this.server.closeAllConnections();
    await closed;
  }

  /** @internal */
  private listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }
}

/**
 * Reads the complete body of a request.
 * @param req - Request to read.
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
