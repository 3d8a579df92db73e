import type { RequestListener } from 'node:http';

import type { EntrySettings } from '../../config/index.js';
import type { ConfigRoot, CoreSettings, ServiceConfig, ServiceObject } from '../../core/index.js';
import { EntryProcess } from '../../entry/index.js';
import type { StoreServer, TargetServer, VmListServer } from '../../standIns/http/index.js';
import {
  startStoreServer,
  startTargetServer,
  startVmListServer,
} from '../../standIns/http/index.js';
import { StandInServer } from '../../standIns/http/StandInServer.js';
import { makeConfiguration, makeCoreSettings, makeService } from '../core/fixtures.js';

/** Stand-ins of the platform on loopback, with the processes under test; `stop` stops them all. */
export interface TestPlatform {
  readonly store: StoreServer;
  readonly vmList: VmListServer;
  readonly entries: EntryProcess[];
  readonly targets: { stop(): Promise<void> }[];
  stop(): Promise<void>;
}

/** Starts the stand-ins of the platform. */
export async function startTestPlatform(): Promise<TestPlatform> {
  const store = await startStoreServer({ model: { answerMs: 0 } });
  const vmList = await startVmListServer({ lagMs: 0 });
  const entries: EntryProcess[] = [];
  const targets: TestPlatform['targets'] = [];
  const stop = async (): Promise<void> => {
    await Promise.all(entries.map((entry) => entry.kill()));
    await Promise.all([store, vmList, ...targets].map((server) => server.stop()));
  };
  return { store, vmList, entries, targets, stop };
}

/** Small limits, so that tests can exceed them with few bytes. */
export const BOUNDS: EntrySettings['bounds'] = {
  headerBytes: 4_096,
  bodyBytes: 64 * 1024,
  replayBytes: 8 * 1024,
  storedAnswerBytes: 4 * 1024,
  callerConnections: 1_000,
};

/** Makes the settings of an entry process on the given platform. */
export function makeEntrySettings(
  platform: TestPlatform,
  core: Partial<CoreSettings> = {},
): EntrySettings {
  return {
    core: makeCoreSettings(core),
    listen: { host: '127.0.0.1', port: 0 },
    peerListen: { host: '127.0.0.1', port: 0 },
    storeUrl: `http://${platform.store.address}`,
    storeTimeoutMs: 1_000,
    vmListUrl: `http://${platform.vmList.address}/vms`,
    vmListPeriodMs: 1_000,
    adminToken: 'secret',
    bounds: BOUNDS,
    log: { level: 'error', format: 'text' },
  };
}

/** Starts one entry process. */
export async function startEntry(
  platform: TestPlatform,
  core: Partial<CoreSettings> = {},
): Promise<EntryProcess> {
  const entry = await EntryProcess.start(makeEntrySettings(platform, core));
  platform.entries.push(entry);
  return entry;
}

/** Makes a service whose targets have the given addresses. */
export function makeServiceAt(
  name: string,
  addresses: readonly string[],
  changes: Partial<ServiceConfig> = {},
): ServiceConfig {
  const service = makeService(name, addresses.length);
  const targets = service.targets.map((target, i) => ({
    ...target,
    address: addresses[i],
  }));
  return { ...service, targets, ...changes };
}

/** Writes a configuration to the store as the publishing step does. */
export async function writeConfiguration(
  platform: TestPlatform,
  configuration: { root: ConfigRoot; services: readonly ServiceObject[] },
): Promise<void> {
  const { model } = platform.store;
  const put = (key: string, value: unknown): Promise<void> =>
    new Promise((resolve) => {
      model.call({ op: 'put', key, value, expect: model.peek(key)?.version ?? 0 }, () => resolve());
    });
  for (const object of configuration.services) {
    await put(`config/services/${object.service.name}/${object.hash}`, object);
  }
  await put('config/root', configuration.root);
}

/** Waits until a condition holds; throws after five seconds, so that a test can't hang. */
export async function waitUntil(isSatisfied: () => boolean): Promise<void> {
  for (let polls = 0; !isSatisfied(); polls += 1) {
    if (polls > 1_000) throw new Error('the awaited condition did not hold within about 5 s');
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

function isConfigurationFresh(entry: EntryProcess): boolean {
  const { configuration, settings } = entry.state;
  return performance.now() - configuration.confirmedAt < settings.freshnessMs / 2;
}

/** Waits until a process drives partitions and its configuration was recently confirmed. */
export async function waitUntilReady(entry: EntryProcess): Promise<void> {
  await waitUntil(() => entry.state.fleet.granted.size > 0 && isConfigurationFresh(entry));
}

/** Pushes a configuration to a process as the publishing step does. */
export async function pushConfiguration(
  entry: EntryProcess,
  configuration: { root: ConfigRoot; services: readonly ServiceObject[] },
): Promise<void> {
  const answer = await fetch(`http://${entry.address}/v1/admin/configuration`, {
    method: 'POST',
    headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
    body: JSON.stringify(configuration),
  });
  if (answer.status !== 202) throw new Error(`the push failed with status ${answer.status}`);
}

/** A target that answers requests with a handler of the test. */
export interface HandlerTarget {
  readonly address: string;
  stop(): Promise<void>;
}

/** Starts a target that passes requests to a handler; it answers health probes itself. */
export async function startHandlerTarget(handler: RequestListener): Promise<HandlerTarget> {
  const server = await StandInServer.start({}, (req, res) => {
    if (req.url === '/health') res.end();
    else handler(req, res);
  });
  return { address: server.address, stop: () => server.stop() };
}

/** Starts a target with the given handler and an entry process that serves it as `horaires`. */
export async function startEntryWithHandler(
  platform: TestPlatform,
  handler: RequestListener,
  changes: Partial<ServiceConfig> = {},
  core: Partial<CoreSettings> = {},
): Promise<EntryProcess> {
  const target = await startHandlerTarget(handler);
  platform.targets.push(target);
  const entry = await startEntry(platform, core);
  const service = makeServiceAt('horaires', [target.address], changes);
  const configuration = makeConfiguration(1, [service]);
  await writeConfiguration(platform, configuration);
  await pushConfiguration(entry, configuration);
  await waitUntilReady(entry);
  return entry;
}

/** Makes the `self` setting of an entry process in zone `a`. */
export function makeSelf(id: string): Pick<CoreSettings, 'self'> {
  return { self: { id, zone: 'a', address: '', peerAddress: '' } };
}

/** Starts a stand-in target and an entry process that serves it as `horaires`. */
export async function startEntryWithTarget(
  platform: TestPlatform,
  changes: Partial<ServiceConfig> = {},
): Promise<{ entry: EntryProcess; target: TargetServer }> {
  const target = await startTargetServer({ model: { id: 'horaires/t0', slots: 2 } });
  platform.targets.push(target);
  const entry = await startEntry(platform);
  const service = makeServiceAt('horaires', [target.address], changes);
  const configuration = makeConfiguration(1, [service]);
  await writeConfiguration(platform, configuration);
  await pushConfiguration(entry, configuration);
  await waitUntilReady(entry);
  return { entry, target };
}

/** Two processes of one fleet, and the target `horaires/t0`, which only `holder` drives. */
export interface EntryPair {
  readonly holder: EntryProcess;
  readonly other: EntryProcess;
  readonly target: HandlerTarget;
}

/** Starts two entry processes and one target; resolves once exactly one of them drives it. */
export async function startEntryPair(
  platform: TestPlatform,
  handler: RequestListener,
  core: Partial<CoreSettings> = {},
): Promise<EntryPair> {
  const target = await startHandlerTarget(handler);
  platform.targets.push(target);
  const first = await startEntry(platform, { ...core, ...makeSelf('vm1#1') });
  const second = await startEntry(platform, { ...core, ...makeSelf('vm2#1') });
  const configuration = makeConfiguration(1, [makeServiceAt('horaires', [target.address])]);
  await writeConfiguration(platform, configuration);
  await Promise.all([first, second].map((entry) => pushConfiguration(entry, configuration)));
  const isDriver = (entry: EntryProcess): boolean =>
    entry.state.targets.records.has('horaires/t0') && entry.state.fleet.granted.size > 0;
  const hasTwoMembers = (entry: EntryProcess): boolean =>
    entry.state.fleet.assignment.members.length === 2;
  await waitUntil(
    () =>
      [first, second].every((entry) => hasTwoMembers(entry) && isConfigurationFresh(entry)) &&
      isDriver(first) !== isDriver(second),
  );
  return isDriver(first)
    ? { holder: first, other: second, target }
    : { holder: second, other: first, target };
}

/** Gets the number of open attempts of a process. */
export function getAttemptCount(entry: EntryProcess): number {
  return entry.state.requests.attempts.size;
}
