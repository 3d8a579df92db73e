import type { Server } from 'node:http';

import type { GatewaySettings } from '../config/index.js';
import type { EventLog } from '../logging/EventLog.js';
import { ADDRESSES_PATH, READY_PATH } from '../platform/index.js';
import type { GatewayMetrics } from './GatewayMetrics.js';
import type { Page } from './Pages.js';
import { servePages } from './Pages.js';

const OK = 200;
const UNAVAILABLE = 503;

/** What the pages show. */
export interface GatewayPagesParts {
  readonly listen: GatewaySettings['listen'];
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  /** Whether this VM takes callers. */
  isReady(): boolean;
  /** Addresses for callers, as they are told. */
  writeAddresses(): string;
}

/** The pages beside callers' requests: readiness, the addresses to use, and metrics. */
export class GatewayPages {
  /** @internal */
  private readonly servers: Server[] = [];

  /** @param parts - What the pages show. */
  constructor(private readonly parts: GatewayPagesParts) {}

  /** Begins to listen; resolves once all pages can be asked for. */
  async listen(): Promise<void> {
    const { listen } = this.parts;
    this.servers.push(
      await servePages(listen.readiness, { [READY_PATH]: this.showReadiness }),
      await servePages(listen.addresses, { [ADDRESSES_PATH]: this.showAddresses }),
      await servePages(listen.metrics, { '/metrics': this.showMetrics }),
    );
  }

  /** Ends all servers. */
  close(): void {
    for (const server of this.servers) server.close();
  }

  /** @internal */
  private readonly showReadiness: Page = (_req, res) => {
    res.writeHead(this.parts.isReady() ? OK : UNAVAILABLE).end();
  };

  /** @internal */
  private readonly showAddresses: Page = (_req, res) => {
    res.writeHead(OK, { 'Content-Type': 'application/json' });
    res.end(this.parts.writeAddresses());
  };

  /** @internal */
  private readonly showMetrics: Page = (_req, res) => {
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
