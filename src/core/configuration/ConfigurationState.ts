import type {
  ConfigRoot,
  FleetConfig,
  ServiceConfig,
  ServiceName,
  ServiceObject,
  TargetConfig,
  VmListEntry,
  ZoneConfig,
  ZoneName,
} from '../model/index.js';

/** The configuration in force in this process, and the progress of fetching a later one. */
export interface ConfigurationState {
  root?: ConfigRoot;
  current: FleetConfig;
  readonly services: Map<ServiceName, ServiceConfig>;
  readonly zones: Map<ZoneName, ZoneConfig>;
  /** Targets of each service, from its file or the VM list, without leaving targets. */
  readonly targets: Map<ServiceName, readonly TargetConfig[]>;
  /** Service objects by hash: those in force and those fetched for the next root. */
  readonly objects: Map<string, ServiceObject>;
  vms: readonly VmListEntry[];
  vmsByService: ReadonlyMap<ServiceName, readonly VmListEntry[]>;
  leavingVms: ReadonlySet<string>;
  /** Last time for which the store, a peer or a majority confirmed `current` as the latest. */
  confirmedAt: number;
  /** A later root whose service objects are being fetched. */
  next?: ConfigRoot;
  /** Progress of fetching the service objects of `next`, by hash. */
  readonly fetches: Map<string, ServiceFetch>;
  /** Store version of the root at the last read; undefined before the first one. */
  rootVersion?: number;
  /** Generation of the root at the last read. */
  rootGeneration: number;
  /** When a peer was last asked for its root. */
  rootRequestedAt: number;
  /** True while a read or watch of the root is pending. */
  isRootCallPending: boolean;
  /** When this process last started to read or watch the root. */
  lastRootCallAt: number;
  /** Nonces of roots with the current generation but other content, each logged once. */
  readonly conflictingRoots: Set<string>;
}

/** Progress of fetching one service object. */
export interface ServiceFetch {
  /** Requests sent to peers; reset when a read from the store fails. */
  peerRequests: number;
  /** When a peer was last asked, or a store read last ended. */
  lastTriedAt: number;
  /** True while a read from the store is pending. */
  isStoreReadPending: boolean;
}

/**
 * Creates the state of a process that does not know any configuration yet.
 * @param _now - Monotonic milliseconds.
 */
export function createConfigurationState(_now: number): ConfigurationState {
  return {
    current: { generation: 0, zones: [], services: [] },
    services: new Map(),
    zones: new Map(),
    targets: new Map(),
    objects: new Map(),
    vms: [],
    vmsByService: new Map(),
    leavingVms: new Set(),
    confirmedAt: Number.NEGATIVE_INFINITY,
    fetches: new Map(),
    rootGeneration: 0,
    rootRequestedAt: Number.NEGATIVE_INFINITY,
    isRootCallPending: false,
    lastRootCallAt: Number.NEGATIVE_INFINITY,
    conflictingRoots: new Set(),
  };
}
