import type { VmListEntry } from '../../core/index.js';
import type { Clock } from '../../timing/index.js';
import { SystemClock } from '../../timing/index.js';
import { VmListModel } from '../models/index.js';
import type { StandInListenOptions } from './StandInServer.js';
import { readBody, StandInServer } from './StandInServer.js';

/** Options of the VM list stand-in. */
export interface VmListServerOptions extends StandInListenOptions {
  readonly clock?: Clock;
  /** Delay until a change becomes visible, in milliseconds. */
  readonly lagMs?: number;
  /** Initial list; empty by default. */
  readonly vms?: readonly VmListEntry[];
}

/** Handle of a running VM list stand-in. */
export interface VmListServer {
  /** IP address and port. */
  readonly address: string;
  /** VM list and its delay; tests modify both. */
  readonly model: VmListModel;
  /** Closes all connections and stops listening. */
  stop(): Promise<void>;
}

/**
 * Starts a stand-in for the platform's VM list: `GET /vms` reads the list, `PUT /vms` replaces it.
 * @param options - Listening address, clock, delay of changes and initial list.
 * @example
 * const vmList = await startVmListServer({ vms: [] });
 */
export async function startVmListServer(options: VmListServerOptions = {}): Promise<VmListServer> {
  const model = new VmListModel(options.clock ?? new SystemClock(), options.lagMs);
  model.setVms(options.vms ?? []);
  const server = await StandInServer.start(options, (req, res) => {
    if (req.method !== 'PUT') {
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(JSON.stringify({ vms: model.getVisibleVms() }));
      return;
    }
    readBody(req)
      .then((body) => {
        const { vms } = JSON.parse(body.toString('utf8')) as { vms: VmListEntry[] };
        model.setVms(vms);
        res.writeHead(204).end();
      })
      .catch(() => res.writeHead(400).end());
  });
  return { address: server.address, model, stop: () => server.stop() };
}
