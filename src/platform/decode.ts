import type {
  CallerLimits,
  Organisation,
  Quota,
  Route,
  RoutingTable,
  ServicePolicy,
  TargetRegistration,
  VmAnnouncement,
  VmRoster,
  WeightedService,
} from '../balancing/index.js';
import type { StorePosition } from '../core/model/index.js';
import { isSocketAddress } from '../fleet/socketAddress.js';
import { digestApiKey } from '../organisations/index.js';
import type { RolloutOrder, RolloutState } from '../rollouts/index.js';

/** A field of a stored object is missing or invalid. */
export class DecodeError extends Error {
  override readonly name = 'DecodeError';
}

type JsonObject = Readonly<Record<string, unknown>>;

function asObject(value: unknown, name: string): JsonObject {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new DecodeError(`${name} must be an object`);
  }
  return value as JsonObject;
}

function asArray(value: unknown, name: string): readonly unknown[] {
  if (!Array.isArray(value)) throw new DecodeError(`${name} must be an array`);
  return value;
}

function asNonEmptyString(value: unknown, name: string): string {
  if (typeof value !== 'string' || value === '') throw new DecodeError(`${name} is not valid text`);
  return value;
}

function asSocketAddress(value: unknown, name: string): string {
  if (!isSocketAddress(value)) throw new DecodeError(`${name} must be IPv4:port of a host`);
  return value;
}

function asNonNegativeNumber(value: unknown, name: string): number {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new DecodeError(`${name} must be a non-negative number`);
  }
  return value;
}

function asPositiveInteger(value: unknown, name: string): number {
  if (!Number.isSafeInteger(value) || (value as number) < 1) {
    throw new DecodeError(`${name} must be a positive integer`);
  }
  return value as number;
}

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/;

function asDurationMs(value: unknown, name: string): number {
  const match = typeof value === 'string' ? DURATION_PATTERN.exec(value) : null;
  if (match === null) throw new DecodeError(`${name} must be a duration in ms or s`);
  return Number(match[1]) * (match[2] === 's' ? 1_000 : 1);
}

function asTableVersion(value: unknown): number {
  const match = typeof value === 'string' ? /^r(\d+)$/.exec(value) : null;
  if (match === null) throw new DecodeError('version must be "r" followed by digits');
  return Number(match[1]);
}

function decodeServices(action: JsonObject): WeightedService[] {
  if (action.traffic_split === undefined || action.traffic_split === null) {
    return [{ service: asNonEmptyString(action.service, 'service'), weight: 1 }];
  }
  const parts = asArray(action.traffic_split, 'traffic_split').map((part) => {
    const { service, weight } = asObject(part, 'traffic_split');
    return {
      service: asNonEmptyString(service, 'service'),
      weight: asNonNegativeNumber(weight, 'weight'),
    };
  });
  const weighted = parts.filter(({ weight }) => weight > 0);
  if (weighted.length === 0) throw new DecodeError('traffic_split must have a weight above 0');
  return weighted;
}

function asFlag(value: unknown, name: string): boolean {
  if (typeof value !== 'boolean') throw new DecodeError(`${name} must be true or false`);
  return value;
}

/** Number of targets that a request may be sent to if the operator does not configure one. */
const DEFAULT_MAX_TARGETS = 1;

function decodeRoute(host: string, value: unknown): Route {
  const rule = asObject(value, 'routing rule');
  const match = asObject(rule.match, 'match');
  const action = asObject(rule.action, 'action');
  const pathPrefix = asNonEmptyString(match.path_prefix, 'path_prefix');
  return {
    name: typeof rule.name === 'string' ? rule.name : `${host}${pathPrefix}`,
    host,
    pathPrefix,
    isIdempotent: rule.kind === 'idempotent',
    objectiveMs: asDurationMs(rule.target_latency, 'target_latency'),
    priority: typeof rule.priority === 'number' ? rule.priority : 0,
    services: decodeServices(action),
    timeoutMs: asDurationMs(action.timeout, 'timeout'),
    maxTargets:
      action.max_attempts === undefined
        ? DEFAULT_MAX_TARGETS
        : Math.max(1, asNonNegativeNumber(action.max_attempts, 'max_attempts')),
    ...(asFlag(rule.auth_exempt ?? false, 'auth_exempt') ? { isAuthExempt: true } : {}),
  };
}

function decodeServiceRules(value: unknown): ServicePolicy {
  const cluster = asObject(value, 'cluster');
  return {
    name: asNonEmptyString(cluster.name, 'name'),
    healthPath: asNonEmptyString(cluster.health_check_path, 'health_check_path'),
    maxConnections: asNonNegativeNumber(cluster.max_connections, 'max_connections'),
    coldRequestsPerSecond: asNonNegativeNumber(cluster.warmup_per_s ?? 0, 'warmup_per_s'),
  };
}

function decodeCallerLimits(value: unknown): CallerLimits {
  const limits = asObject(value, 'limits');
  return {
    bodyBytes: asNonNegativeNumber(limits.max_body_bytes, 'max_body_bytes'),
    headerTimeoutMs: asDurationMs(limits.header_timeout, 'header_timeout'),
    idleTimeoutMs: asDurationMs(limits.idle_timeout, 'idle_timeout'),
  };
}

/** Characters that a header cannot carry, or not at its ends. */
const UNSENDABLE_NAME_PATTERN = /\p{Cc}|^ | $/u;

function asOrganisationName(value: unknown, name: string): string {
  const text = asNonEmptyString(value, name);
  if (UNSENDABLE_NAME_PATTERN.test(text)) {
    throw new DecodeError(`${name} must have no control characters and no spaces at its ends`);
  }
  return text;
}

function decodeQuota(tenant: JsonObject, where: string): Quota | undefined {
  const ratePerSecond = asNonNegativeNumber(tenant.rate_per_s ?? 0, `${where}.rate_per_s`);
  const burst = asNonNegativeNumber(tenant.burst_size ?? 0, `${where}.burst_size`);
  return ratePerSecond === 0 ? undefined : { ratePerSecond, burst };
}

/** Decodes one organisation. Errors name the place in the list and never a key. */
function decodeOrganisation(value: unknown, where: string): Organisation {
  const tenant = asObject(value, where);
  const keys = asArray(tenant.api_keys, `${where}.api_keys`).map((key, i) =>
    digestApiKey(asNonEmptyString(key, `${where}.api_keys[${i}]`)),
  );
  const quota = decodeQuota(tenant, where);
  const priority =
    tenant.priority === undefined || tenant.priority === null
      ? undefined
      : asNonNegativeNumber(tenant.priority, `${where}.priority`);
  return {
    name: asOrganisationName(tenant.name, `${where}.name`),
    keyDigests: [...new Set(keys)],
    ...(priority === undefined ? {} : { priority }),
    ...(quota === undefined ? {} : { quota }),
  };
}

/**
 * Rejects names that two entries have, and keys that two organisations have: whose quota and priority
 * apply would depend on the order of the list.
 */
function checkUniqueness(organisations: readonly Organisation[]): void {
  const indexByName = new Map<string, number>();
  const indexByKey = new Map<string, number>();
  organisations.forEach(({ name, keyDigests }, index) => {
    const sameName = indexByName.get(name);
    if (sameName !== undefined) {
      throw new DecodeError(`tenants[${sameName}] and tenants[${index}] have the same name`);
    }
    indexByName.set(name, index);
    for (const digest of keyDigests) {
      const sameKey = indexByKey.get(digest);
      if (sameKey !== undefined) {
        throw new DecodeError(`tenants[${sameKey}] and tenants[${index}] have a key in common`);
      }
      indexByKey.set(digest, index);
    }
  });
}

function decodeOrganisations(value: unknown): readonly Organisation[] | undefined {
  if (value === undefined || value === null) return undefined;
  const organisations = asArray(value, 'tenants').map((tenant, i) =>
    decodeOrganisation(tenant, `tenants[${i}]`),
  );
  checkUniqueness(organisations);
  return organisations.length === 0 ? undefined : organisations;
}

/**
 * Decodes the operator's configuration; throws `DecodeError` if it is incomplete or invalid.
 * @param spec - Content of the stored object.
 */
export function decodeRoutingTable(spec: unknown): RoutingTable {
  const config = asObject(spec, 'configuration');
  const routes = asArray(config.listeners, 'listeners').flatMap((value) => {
    const listener = asObject(value, 'listener');
    const host = asNonEmptyString(listener.host, 'host');
    return asArray(listener.routing_rules, 'routing_rules').map((rule) => decodeRoute(host, rule));
  });
  const organisations = decodeOrganisations(config.tenants);
  return {
    version: asTableVersion(config.version),
    routes,
    services: asArray(config.clusters, 'clusters').map(decodeServiceRules),
    limits: decodeCallerLimits(config.limits),
    ...(organisations === undefined ? {} : { organisations }),
  };
}

const TARGET_STATES: ReadonlySet<unknown> = new Set(['ready', 'draining']);

/**
 * Decodes the entry that a target has registered; throws `DecodeError` if it describes no usable
 * target.
 * @param id - Name of the stored object.
 * @param value - The object's fields.
 */
export function decodeTarget(id: string, value: unknown): TargetRegistration {
  const entry = asObject(value, 'entry');
  const info = asObject(entry.info, 'info');
  const status = asObject(entry.status, 'status');
  if (!TARGET_STATES.has(status.state)) throw new DecodeError('state must be ready or draining');
  // Not used, but an entry without a sequence was not written by a target.
  asNonNegativeNumber(status.sequence, 'sequence');
  return {
    id,
    service: asNonEmptyString(info.service, 'service'),
    address: asSocketAddress(entry.address, 'address'),
    zone: asNonEmptyString(info.zone, 'zone'),
    version: asNonEmptyString(info.version, 'version'),
    bornAt: entry.born === undefined ? 0 : asPositiveInteger(entry.born, 'born'),
    slots: asPositiveInteger(info.max_concurrency, 'max_concurrency'),
    isDraining: status.state === 'draining',
    coldMs: asDurationMs(status.warmup_left, 'warmup_left'),
  };
}

function decodeVm(value: unknown): VmAnnouncement {
  const entry = asObject(value, 'VM');
  return {
    name: asNonEmptyString(entry.name, 'name'),
    zone: asNonEmptyString(entry.zone, 'zone'),
    callers: asSocketAddress(entry.callers, 'callers'),
    peers: asSocketAddress(entry.peers, 'peers'),
    linkMbps: typeof entry.linkMbps === 'number' ? entry.linkMbps : 0,
  };
}

/**
 * Decodes the list of entry VMs that one of them has announced. An entry that describes no usable VM
 * is left out, since one VM may have announced all others.
 * @param spec - Content of the stored object.
 * @param onUnreadable - Called with the reason for each entry that is left out.
 */
export function decodeRoster(spec: unknown, onUnreadable: (reason: string) => void): VmRoster {
  const { vms } = asObject(spec, 'announcement');
  const readVm = (value: unknown): readonly VmAnnouncement[] => {
    try {
      return [decodeVm(value)];
    } catch (err) {
      if (!(err instanceof DecodeError)) throw err;
      onUnreadable(err.message);
      return [];
    }
  };
  return { vms: asArray(vms, 'vms').flatMap(readVm) };
}

const ROLLOUT_STATES: Readonly<Record<string, RolloutState>> = {
  running: 'running',
  completed: 'completed',
  rolled_back: 'rolledBack',
};

/** Metadata of a rollout order's object. */
export interface RolloutMetadata {
  readonly name: string;
  readonly revision?: number;
  readonly create_revision?: number;
}

/**
 * Decodes an operator's order to move a service to another version.
 * @param metadata - Metadata of the stored object.
 * @param spec - Content of the object.
 * @param status - State of the rollout as last written; ignored unless it is for the same version.
 * @param epoch - Epoch of the store that the object was read in.
 */
export function decodeRollout(
  metadata: RolloutMetadata,
  spec: unknown,
  status: unknown,
  epoch: StorePosition['epoch'],
): RolloutOrder {
  const order = asObject(spec, 'rollout');
  const version = asNonEmptyString(order.target_version, 'target_version');
  const storedStatus = typeof status === 'object' && status !== null ? (status as JsonObject) : {};
  const isForVersion = storedStatus.target_version === version;
  return {
    id: `${metadata.name}@${metadata.create_revision ?? 0}/${version}`,
    name: metadata.name,
    service: asNonEmptyString(order.service, 'service'),
    version,
    durationMs: asDurationMs(order.duration, 'duration'),
    position: { epoch, revision: asPositiveInteger(metadata.revision, 'revision') },
    state: isForVersion ? ROLLOUT_STATES[String(storedStatus.state)] : undefined,
  };
}

/**
 * Encodes the state of a rollout for the store.
 * @param version - Version that the order is for.
 * @param state - State of the rollout.
 */
export function encodeRolloutStatus(version: string, state: RolloutState): unknown {
  const [stored] = Object.entries(ROLLOUT_STATES).find(([, known]) => known === state) ?? [state];
  return { state: stored, target_version: version };
}
