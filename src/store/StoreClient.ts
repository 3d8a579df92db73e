import { Pool } from 'undici';

import type { StoreOp, StoreResult } from '../core/index.js';
import { StoreProtocolError } from './errors.js';
import { readStoreAnswer } from './readStoreAnswer.js';
import { writeStoreRequest } from './writeStoreRequest.js';

/** Address of the store and timeout of calls. */
export interface StoreClientOptions {
  /** Base URL, such as `http://10.0.0.5:7000`. */
  readonly url: string;
  /** Timeout of a call, in milliseconds; for a watch its `waitMs` is added. */
  readonly timeoutMs: number;
}

const CONNECT_TIMEOUT_MS = 1_000;

/** Error codes that undici returns only before any byte of the request was written. */
const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function isConnectError(error: unknown): boolean {
  if (error instanceof StoreProtocolError) return false;
  const { code, syscall } = error as { code?: string; syscall?: string };
  // Only an error while connecting proves that nothing was sent; on a write the same code does not.
  return code !== undefined && CONNECT_ERRORS.has(code) && (syscall ?? 'connect') === 'connect';
}

/** HTTP client of the platform's store; reads and writes its objects. */
export class StoreClient {
  /** @internal */
  private readonly pool: Pool;

  /** @param options - Address of the store and timeout of calls. */
  constructor(private readonly options: StoreClientOptions) {
    this.pool = new Pool(options.url, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  /**
   * Performs one operation. Never throws: a failure is returned as `unavailable` if the call
   * certainly had no effect, else as `unknown`. A call whose answer was lost may have taken effect;
   * the code that made it has to find out by reading the object.
   * @param op - The operation.
   * @example
   * const result = await client.call({ op: 'get', key: 'config/root' });
   */
  async call(op: StoreOp): Promise<StoreResult> {
    const waitMs = op.op === 'watch' ? op.waitMs : 0;
    try {
      const { statusCode, headers, body } = await this.pool.request({
        ...writeStoreRequest(op),
        signal: AbortSignal.timeout(this.options.timeoutMs + waitMs),
      });
      return readStoreAnswer(op, statusCode, headers, await body.text());
    } catch (error) {
      return { kind: isConnectError(error) ? 'unavailable' : 'unknown' };
    }
  }

  /** Closes the client; calls in progress return `unknown`. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
