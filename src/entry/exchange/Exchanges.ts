import type { RequestId } from '../../core/index.js';
import type { Exchange } from './Exchange.js';

/** The open requests at this process, by ID. */
export class Exchanges {
  /** @internal */
  private readonly byId = new Map<RequestId, Exchange>();

  /** @internal */
  private lastId = 0;

  /** Gets an ID that no request has had. */
  createId(): RequestId {
    this.lastId += 1;
    return this.lastId;
  }

  /** Number of open requests. */
  get size(): number {
    return this.byId.size;
  }

  /**
   * Adds a request.
   * @param exchange - The request.
   */
  add(exchange: Exchange): void {
    this.byId.set(exchange.id, exchange);
  }

  /**
   * Removes a request that was answered or whose caller disconnected.
   * @param id - ID of the request.
   */
  remove(id: RequestId): void {
    this.byId.delete(id);
  }

  /**
   * Gets a request; undefined if it was answered or its caller disconnected.
   * @param id - ID of the request.
   */
  get(id: RequestId): Exchange | undefined {
    return this.byId.get(id);
  }
}
