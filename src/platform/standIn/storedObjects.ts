import type { Organisation, RoutingTable, TargetRegistration } from '../../balancing/index.js';
import {
  API_KEY_HEADER,
  DEADLINE_HEADER,
  ORGANISATION_HEADER,
  REQUEST_ID_HEADER,
  RESPONSE_SIGNATURE_HEADER,
} from '../headers.js';
import { ADDRESSES_PATH } from '../pages.js';
import type { PlatformStore, StoreCopy } from './PlatformStore.js';

/** Kind of the objects by which entry VMs announce themselves. */
const VM_KIND = 'entry-vms';

function formatMs(ms: number): string {
  return `${ms}ms`;
}

/** An organisation as an operator configures it: with its keys in place of their digests. */
export interface ConfiguredOrganisation extends Omit<Organisation, 'keyDigests'> {
  readonly apiKeys: readonly string[];
}

/** Encodes organisations as they are stored; undefined without organisations. */
function writeOrganisations(organisations: readonly ConfiguredOrganisation[] | undefined): unknown {
  return organisations?.map(({ name, apiKeys, priority, quota }) => ({
    name,
    api_keys: apiKeys,
    priority,
    rate_per_s: quota?.ratePerSecond,
    burst_size: quota?.burst,
  }));
}

/**
 * Writes a configuration to a stand-in store, as operators do.
 * @param store - The store.
 * @param table - The configuration; its organisations are not used, since they have no keys.
 * @param organisations - Organisations with their keys; undefined if callers need none.
 */
export function putConfiguration(
  store: PlatformStore,
  table: RoutingTable,
  organisations?: readonly ConfiguredOrganisation[],
): void {
  const hosts = new Set(table.routes.map(({ host }) => host));
  const listeners = [...hosts].map((host) => ({
    host,
    routing_rules: table.routes
      .filter((route) => route.host === host)
      .map((route) => ({
        name: route.name,
        kind: route.isIdempotent ? 'idempotent' : 'non_idempotent',
        target_latency: formatMs(route.objectiveMs),
        priority: route.priority,
        auth_exempt: route.isAuthExempt,
        match: { path_prefix: route.pathPrefix },
        action: {
          traffic_split: route.services,
          timeout: formatMs(route.timeoutMs),
          max_attempts: route.maxTargets,
        },
      })),
  }));
  const clusters = table.services.map((rules) => ({
    name: rules.name,
    health_check_path: rules.healthPath,
    max_connections: rules.maxConnections,
    warmup_per_s: rules.coldRequestsPerSecond,
  }));
  const limits = {
    max_body_bytes: table.limits.bodyBytes,
    header_timeout: formatMs(table.limits.headerTimeoutMs),
    idle_timeout: formatMs(table.limits.idleTimeoutMs),
  };
  store.put('config', 'main', {
    version: `r${table.version}`,
    listeners,
    clusters,
    limits,
    tenants: writeOrganisations(organisations),
  });
}

/**
 * Registers a target in a stand-in store, as targets do themselves.
 * @param store - The store.
 * @param entry - The target's entry.
 */
export function putTarget(store: PlatformStore, entry: TargetRegistration): void {
  const { id, service, address, zone, version, bornAt, slots, isDraining, coldMs } = entry;
  const info = { service, version, zone, max_concurrency: slots };
  const state = isDraining ? 'draining' : 'ready';
  const status = { state, sequence: 1, warmup_left: formatMs(coldMs) };
  store.put('servers', id, { address, born: bornAt, info }, status);
}

/** Removes a target from a stand-in store. */
export function removeTarget(store: PlatformStore, id: string): void {
  store.remove('servers', id);
}

/**
 * Returns a copy of a stand-in store as it was when only some entry VMs had announced themselves.
 * @param copy - A later copy.
 * @param announcers - Number of announcements that it keeps.
 */
export function dropAnnouncements(copy: StoreCopy, announcers: number): StoreCopy {
  const announcements = [...(copy.objectsByKind.get(VM_KIND) ?? [])].slice(0, announcers);
  return {
    ...copy,
    events: [],
    objectsByKind: new Map([...copy.objectsByKind, [VM_KIND, new Map(announcements)]]),
  };
}

/** Evacuates an availability zone or ends its evacuation, as operators do. */
export function setZoneOut(store: PlatformStore, zone: string, isOut: boolean): void {
  if (isOut) store.put('evacuations', zone, {});
  else store.remove('evacuations', zone);
}

/**
 * Writes an order to move a service to another version, as operators do.
 * @param store - The store.
 * @param service - The service.
 * @param version - Version of the targets that were started for the order.
 * @param durationMs - Time until the deadline, in milliseconds.
 */
export function putRollout(
  store: PlatformStore,
  service: string,
  version: string,
  durationMs: number,
): void {
  store.put('rollouts', service, {
    service,
    target_version: version,
    duration: formatMs(durationMs),
  });
}

/** State of a rollout in a stand-in store; undefined if none was written. */
export function getRolloutState(store: PlatformStore, service: string): string | undefined {
  const status = store.getStatus('rollouts', service) as { state?: string } | null | undefined;
  return status?.state;
}

/**
 * Builds the headers of a caller's request.
 * @param requestId - Id of the request.
 * @param allowedMs - Time that the caller allows, in milliseconds.
 * @param apiKey - The caller's key; undefined if it sends none.
 */
export function writeCallerHeaders(
  requestId: string,
  allowedMs: number,
  apiKey?: string,
): Record<string, string> {
  return {
    [REQUEST_ID_HEADER]: requestId,
    [DEADLINE_HEADER]: String(allowedMs),
    ...(apiKey === undefined ? {} : { [API_KEY_HEADER]: apiKey }),
  };
}

/** What a request that reached a target says about its caller, line by line. */
export interface ReceivedIdentity {
  /** Values of all headers that name an organisation; there must not be more than one. */
  readonly organisations: readonly string[];
  /** Values of all headers with an API key; there must be none. */
  readonly apiKeys: readonly string[];
}

/**
 * Reads what a request that reached a target says about its caller.
 * @param rawHeaders - Headers as received, as alternating names and values.
 */
export function readIdentity(rawHeaders: readonly string[]): ReceivedIdentity {
  const getValues = (name: string): string[] =>
    rawHeaders.filter((_, i) => i % 2 === 1 && rawHeaders[i - 1].toLowerCase() === name);
  return { organisations: getValues(ORGANISATION_HEADER), apiKeys: getValues(API_KEY_HEADER) };
}

/**
 * Builds headers by which a caller claims to belong to an organisation.
 * @param names - Names that it claims, one line each, in different letter case.
 */
export function writeClaimedOrganisations(names: readonly string[]): string[] {
  return names.flatMap((name, i) => [
    i % 2 === 0 ? ORGANISATION_HEADER : ORGANISATION_HEADER.toUpperCase(),
    name,
  ]);
}

/** Name of the header that proves that a target made an answer. */
export const SIGNATURE_HEADER = RESPONSE_SIGNATURE_HEADER;

/**
 * Builds the path at which a caller asks which entry VMs to use.
 * @param host - Host that the caller wants to reach.
 * @param zone - Availability zone of the caller.
 */
export function writeAddressesPath(host: string, zone: string): string {
  return `${ADDRESSES_PATH}?name=${host}&region=here&zone=${zone}`;
}

/**
 * Reads the answer to a caller that asked which entry VMs to use.
 * @param text - Body of the answer.
 * @returns IP addresses and ports; undefined if the answer has none, which counts as a failure.
 */
export function readAddresses(text: string): readonly string[] | undefined {
  return (JSON.parse(text) as { addresses?: readonly string[] }).addresses;
}
