import type { Server } from 'node:http';

import type { GatewaySettings } from '../config/index.js';
import type { EventLog } from '../logging/EventLog.js';
import { ADDRESSES_PATH, READY_PATH } from '../platform/index.js';
import type { GatewayMetrics } from './GatewayMetrics.js';
import type { EndpointHandler } from './serveEndpoints.js';
import { serveEndpoints } from './serveEndpoints.js';

const OK = 200;
const UNAVAILABLE = 503;

/** Dependencies of `GatewayEndpoints`. */
export interface GatewayEndpointsParts {
  readonly listen: GatewaySettings['listen'];
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  /** Whether this VM accepts callers. */
  isReady(): boolean;
  /** Writes the JSON answer with the entry VM addresses for callers. */
  writeAddresses(): string;
}

/** HTTP endpoints besides callers' traffic: readiness, entry VM addresses and metrics. */
export class GatewayEndpoints {
  /** @internal */
  private readonly servers: Server[] = [];

  /** @param parts - Listen addresses and the sources of what the endpoints return. */
  constructor(private readonly parts: GatewayEndpointsParts) {}

  /**
   * Starts all servers; resolves once every endpoint is reachable.
   * @throws StartError if an address cannot be listened on.
   */
  async listen(): Promise<void> {
    const { listen } = this.parts;
    this.servers.push(
      await serveEndpoints(listen.readiness, { [READY_PATH]: this.serveReadiness }),
      await serveEndpoints(listen.addresses, { [ADDRESSES_PATH]: this.serveAddresses }),
      await serveEndpoints(listen.metrics, { '/metrics': this.serveMetrics }),
    );
  }

  /** Stops all servers. */
  close(): void {
    for (const server of this.servers) server.close();
  }

  /** @internal */
  private readonly serveReadiness: EndpointHandler = (_req, res) => {
    res.writeHead(this.parts.isReady() ? OK : UNAVAILABLE).end();
  };

  /** @internal */
  private readonly serveAddresses: EndpointHandler = (_req, res) => {
    res.writeHead(OK, { 'Content-Type': 'application/json' });
    res.end(this.parts.writeAddresses());
  };

  /** @internal */
  private readonly serveMetrics: EndpointHandler = (_req, res) => {
    const { metrics, log } = this.parts;
    metrics
      .read()
      .then(({ type, text }) => res.writeHead(OK, { 'Content-Type': type }).end(text))
      .catch((err: Error) => {
        log.write('metrics.failed', { message: err.message });
        res.writeHead(UNAVAILABLE).end();
      });
  };
}
