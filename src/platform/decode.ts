import type {
  CallerLimits,
  Route,
  RoutingTable,
  ServiceRules,
  TargetEntry,
  VmEntry,
  VmRoster,
  WeightedService,
} from '../balancing/index.js';
import type { RolloutOrder, RolloutState } from '../rollouts/index.js';

/** A field of a stored object is missing or of another type than it should be. */
export class DecodeError extends Error {
  override readonly name = 'DecodeError';
}

type Fields = Readonly<Record<string, unknown>>;

function asFields(value: unknown, what: string): Fields {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new DecodeError(`${what} is no object`);
  }
  return value as Fields;
}

function asList(value: unknown, what: string): readonly unknown[] {
  if (!Array.isArray(value)) throw new DecodeError(`${what} is no list`);
  return value;
}

function asText(value: unknown, what: string): string {
  if (typeof value !== 'string' || value === '') throw new DecodeError(`${what} is no text`);
  return value;
}

function asNumber(value: unknown, what: string): number {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new DecodeError(`${what} is no number`);
  }
  return value;
}

function asWhole(value: unknown, what: string): number {
  if (!Number.isSafeInteger(value) || (value as number) < 1) {
    throw new DecodeError(`${what} is no whole number`);
  }
  return value as number;
}

const DURATION = /^(\d+(?:\.\d+)?)(ms|s)$/;

function asMs(value: unknown, what: string): number {
  const match = typeof value === 'string' ? DURATION.exec(value) : null;
  if (match === null) throw new DecodeError(`${what} is no length of time`);
  return Number(match[1]) * (match[2] === 's' ? 1_000 : 1);
}

function asVersion(value: unknown): number {
  const match = typeof value === 'string' ? /^r(\d+)$/.exec(value) : null;
  if (match === null) throw new DecodeError('version is none');
  return Number(match[1]);
}

function decodeServices(action: Fields): WeightedService[] {
  if (action.traffic_split === undefined || action.traffic_split === null) {
    return [{ service: asText(action.service, 'service'), weight: 1 }];
  }
  const parts = asList(action.traffic_split, 'traffic_split').map((part) => {
    const { service, weight } = asFields(part, 'traffic_split');
    return { service: asText(service, 'service'), weight: asNumber(weight, 'weight') };
  });
  const weighty = parts.filter(({ weight }) => weight > 0);
  if (weighty.length === 0) throw new DecodeError('traffic_split has no weight');
  return weighty;
}

/** Sent to one target if the operator names no number. */
const DEFAULT_MAX_TARGETS = 1;

function decodeRoute(host: string, value: unknown): Route {
  const rule = asFields(value, 'routing rule');
  const match = asFields(rule.match, 'match');
  const action = asFields(rule.action, 'action');
  const pathPrefix = asText(match.path_prefix, 'path_prefix');
  return {
    name: typeof rule.name === 'string' ? rule.name : `${host}${pathPrefix}`,
    host,
    pathPrefix,
    isIdempotent: rule.kind === 'idempotent',
    objectiveMs: asMs(rule.target_latency, 'target_latency'),
    priority: typeof rule.priority === 'number' ? rule.priority : 0,
    services: decodeServices(action),
    timeoutMs: asMs(action.timeout, 'timeout'),
    maxTargets:
      action.max_attempts === undefined
        ? DEFAULT_MAX_TARGETS
        : Math.max(1, asNumber(action.max_attempts, 'max_attempts')),
  };
}

function decodeRules(value: unknown): ServiceRules {
  const cluster = asFields(value, 'cluster');
  return {
    name: asText(cluster.name, 'name'),
    healthPath: asText(cluster.health_check_path, 'health_check_path'),
    maxConnections: asNumber(cluster.max_connections, 'max_connections'),
    coldRequestsPerSecond: asNumber(cluster.warmup_per_s ?? 0, 'warmup_per_s'),
  };
}

function decodeLimits(value: unknown): CallerLimits {
  const limits = asFields(value, 'limits');
  return {
    bodyBytes: asNumber(limits.max_body_bytes, 'max_body_bytes'),
    headerTimeoutMs: asMs(limits.header_timeout, 'header_timeout'),
    idleTimeoutMs: asMs(limits.idle_timeout, 'idle_timeout'),
  };
}

/**
 * Decodes the operator's configuration; throws `DecodeError` if it is not whole.
 * @param spec - Content of the stored object.
 */
export function decodeRoutingTable(spec: unknown): RoutingTable {
  const config = asFields(spec, 'configuration');
  const routes = asList(config.listeners, 'listeners').flatMap((value) => {
    const listener = asFields(value, 'listener');
    const host = asText(listener.host, 'host');
    return asList(listener.routing_rules, 'routing_rules').map((rule) => decodeRoute(host, rule));
  });
  return {
    version: asVersion(config.version),
    routes,
    services: asList(config.clusters, 'clusters').map(decodeRules),
    limits: decodeLimits(config.limits),
  };
}

const STATES: ReadonlySet<unknown> = new Set(['ready', 'draining']);

/**
 * Decodes what a target has registered; throws `DecodeError` if it names no target to use.
 * @param id - Name of the stored object.
 * @param value - The object's fields.
 */
export function decodeTarget(id: string, value: unknown): TargetEntry {
  const entry = asFields(value, 'entry');
  const info = asFields(entry.info, 'info');
  const status = asFields(entry.status, 'status');
  if (!STATES.has(status.state)) throw new DecodeError('state is none that is known');
  const address = asText(entry.address, 'address');
  if (!/^\d+\.\d+\.\d+\.\d+:\d+$/.test(address)) throw new DecodeError('address is none');
  // Not used, but an entry without it is not a target's own.
  asNumber(status.sequence, 'sequence');
  return {
    id,
    service: asText(info.service, 'service'),
    address,
    zone: asText(info.zone, 'zone'),
    version: asText(info.version, 'version'),
    bornAt: entry.born === undefined ? 0 : asWhole(entry.born, 'born'),
    slots: asWhole(info.max_concurrency, 'max_concurrency'),
    isDraining: status.state === 'draining',
    coldMs: asMs(status.warmup_left, 'warmup_left'),
  };
}

function decodeVm(value: unknown): VmEntry {
  const entry = asFields(value, 'VM');
  return {
    name: asText(entry.name, 'name'),
    zone: asText(entry.zone, 'zone'),
    callers: asText(entry.callers, 'callers'),
    peers: asText(entry.peers, 'peers'),
    linkMbps: typeof entry.linkMbps === 'number' ? entry.linkMbps : 0,
  };
}

/**
 * Decodes which entry VMs one of them has announced.
 * @param spec - Content of the stored object.
 */
export function decodeRoster(spec: unknown): VmRoster {
  const { vms } = asFields(spec, 'announcement');
  return { vms: asList(vms, 'vms').map(decodeVm) };
}

const ROLLOUT_STATES: Readonly<Record<string, RolloutState>> = {
  running: 'running',
  completed: 'completed',
  rolled_back: 'rolledBack',
};

/** What an order's object says besides its content. */
export interface RolloutMetadata {
  readonly name: string;
  readonly revision?: number;
  readonly create_revision?: number;
}

/**
 * Decodes an operator's order to move a service to another version.
 * @param metadata - Of the stored object.
 * @param spec - Its content.
 * @param status - What was written of how it stands; counts only if it is about the same version.
 */
export function decodeRollout(
  metadata: RolloutMetadata,
  spec: unknown,
  status: unknown,
): RolloutOrder {
  const order = asFields(spec, 'rollout');
  const version = asText(order.target_version, 'target_version');
  const written = typeof status === 'object' && status !== null ? (status as Fields) : {};
  const isOfVersion = written.target_version === version;
  return {
    id: `${metadata.name}@${metadata.create_revision ?? 0}/${version}`,
    name: metadata.name,
    service: asText(order.service, 'service'),
    version,
    durationMs: asMs(order.duration, 'duration'),
    revision: asWhole(metadata.revision, 'revision'),
    state: isOfVersion ? ROLLOUT_STATES[String(written.state)] : undefined,
  };
}

/**
 * Writes how an order stands.
 * @param version - Version that it is about.
 * @param state - How it stands.
 */
export function encodeRolloutStatus(version: string, state: RolloutState): unknown {
  const [word] = Object.entries(ROLLOUT_STATES).find(([, each]) => each === state) ?? [state];
  return { state: word, target_version: version };
}
