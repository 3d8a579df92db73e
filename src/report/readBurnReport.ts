import type { ConfigRoot, ServiceConfig, ServiceObject } from '../core/index.js';
import { getServiceKey, ROOT_KEY } from '../publish/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

import type { BurnReport } from './BurnReport.js';
import { computeBurn } from './computeBurn.js';
import { createReportError } from './errors.js';
import { ServiceLevelStore } from './ServiceLevelStore.js';

/** Writer id that `ServiceLevelStore` requires; the report only reads. */
const READER_ID = 'burn-report';

async function readRoot(store: StoreCaller): Promise<ConfigRoot> {
  const result = await store.call({ op: 'get', key: ROOT_KEY });
  if (result.kind === 'found') return result.entry.value as ConfigRoot;
  throw createReportError(
    result.kind === 'missing'
      ? 'no configuration was published yet; publish one first'
      : 'the store does not answer; try again later',
  );
}

async function readService(
  store: StoreCaller,
  name: string,
  hash: string,
): Promise<ServiceConfig | undefined> {
  const result = await store.call({ op: 'get', key: getServiceKey(name, hash) });
  return result.kind === 'found' ? (result.entry.value as ServiceObject).service : undefined;
}

/**
 * Reads objectives and counters from the store and computes the report.
 * @param store - Client of the object store. One call reads the root, one each service and six the
 * counters.
 * @param now - Milliseconds since 1970.
 * @throws ReportError if the store does not answer or no configuration was published.
 * @example
 * const report = await readBurnReport(store, Date.now());
 */
export async function readBurnReport(store: StoreCaller, now: number): Promise<BurnReport> {
  const root = await readRoot(store);
  const history = await new ServiceLevelStore(store, READER_ID).read(now);
  if (!history) throw createReportError('the store does not answer; try again later');
  const services: ServiceConfig[] = [];
  for (const [name, hash] of Object.entries(root.services).sort()) {
    const service = await readService(store, name, hash);
    if (!service) throw createReportError(`service ${name} cannot be read; try again later`);
    services.push(service);
  }
  return {
    at: new Date(now).toISOString(),
    generation: root.generation,
    services: services.map((service) => computeBurn(service, history, now)),
  };
}
