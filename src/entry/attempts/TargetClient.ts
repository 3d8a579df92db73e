import { Client } from 'undici';
import type { Dispatcher } from 'undici';

import { TargetConnection } from './TargetConnection.js';

/** Options of a request that has to know its connection. */
export interface TargetDispatchOptions extends Dispatcher.DispatchOptions {
  /** Called with the connection that the request is sent on. */
  readonly onConnection?: (connection: TargetConnection) => void;
}

/** A client that tells its requests which connection they are sent on. */
export class TargetClient extends Client {
  /**
   * Creates a client for a pool of connections to a target.
   * @param origin - URL of the target.
   * @param options - Options of the pool.
   */
  static create(origin: URL, options: object): TargetClient {
    return new TargetClient(origin, options, new TargetConnection());
  }

  /** @internal */
  private constructor(
    origin: URL,
    options: Client.Options,
    private readonly connection: TargetConnection,
  ) {
    super(origin, { ...options, connect: connection.connect });
  }

  override dispatch(options: TargetDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    options.onConnection?.(this.connection);
    return super.dispatch(options, handler);
  }
}
