import { Agent, request } from 'undici';

import type { ConfigRoot, ServiceObject } from '../core/index.js';

/** Client interface of the administration API of entry VMs. */
export interface AdminCaller {
  /**
   * Sends an accepted configuration to an entry VM.
   * @param address - Address of the entry VM.
   * @param root - Accepted root.
   * @param services - Descriptions that the publication added or changed.
   * @returns Generation then in force on the entry VM; undefined if it cannot be reached.
   */
  push(
    address: string,
    root: ConfigRoot,
    services: readonly ServiceObject[],
  ): Promise<number | undefined>;
  /** Gives the generation in force on an entry VM; undefined if it cannot be reached. */
  getGeneration(address: string): Promise<number | undefined>;
}

/** Timeout of a call. A slower entry VM counts as unreachable, and `waitUntilInForce` polls it again. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Calls the administration API over HTTP. */
export class AdminClient implements AdminCaller {
  /** @internal */
  private readonly agent = new Agent({ connections: 1 });

  /**
   * @param token - Token of the administration API.
   * @example
   * const admin = new AdminClient(token);
   * await admin.getGeneration('10.0.0.11:8080'); // 7
   */
  constructor(private readonly token: string) {}

  push(address: string, root: ConfigRoot, services: readonly ServiceObject[]) {
    return this.call('POST', address, JSON.stringify({ root, services }));
  }

  getGeneration(address: string) {
    return this.call('GET', address);
  }

  /** Closes all connections and aborts pending calls. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** @internal */
  private async call(
    method: 'GET' | 'POST',
    address: string,
    body?: string,
  ): Promise<number | undefined> {
    try {
      const res = await request(`http://${address}/v1/admin/configuration`, {
        method,
        body,
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${this.token}`, 'content-type': 'application/json' },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const answer = (await res.body.json()) as { generation?: unknown };
      return typeof answer.generation === 'number' ? answer.generation : undefined;
    } catch {
      return undefined;
    }
  }
}
