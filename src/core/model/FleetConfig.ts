import type { ServiceName, TargetId, ZoneName } from './ids.js';

/** Whether operators have an availability zone in service or have taken it out. */
export type ZoneState = 'in' | 'out';

/** One availability zone, from `zones.ini`. */
export interface ZoneConfig {
  readonly name: ZoneName;
  readonly region: string;
  readonly state: ZoneState;
}

/** One target, from the service's file or, if that lists no targets, from the VM list. */
export interface TargetConfig {
  readonly id: TargetId;
  readonly service: ServiceName;
  readonly zone: ZoneName;
  /** IP address and port. */
  readonly address: string;
}

/** Capacity of each target of a service. */
export interface CapacityConfig {
  /** Requests that a warm target runs concurrently. */
  readonly slots: number;
  /** Connections that a target accepts. */
  readonly maxConnections: number;
  /** Processing time that a new connection costs the target, in milliseconds. */
  readonly connectionCostMs: number;
}

/** Probing of a service's targets that have had no recent request. */
export interface ProbeConfig {
  readonly path: string;
  /** Slot time that a probe costs the target, in milliseconds. */
  readonly costMs: number;
  /** Share of a target's slot time that probes may use, between 0 and 1. */
  readonly budgetShare: number;
  /** Time without a request after which a target may be probed, in milliseconds. */
  readonly idleMs: number;
}

/** Which requests of a service may be retried or hedged, and how often. */
export interface RepeatConfig {
  /** Methods that are idempotent for this service. */
  readonly methods: readonly string[];
  /** Statuses by which a target reports that it refused a request without running it. */
  readonly refusedStatuses: readonly number[];
  /** Retry budget as a share of the requests, between 0 and 1. */
  readonly retryShare: number;
  /** Hedge budget as a share of repeatable requests, between 0 and 1; 0 disables hedging. */
  readonly hedgeShare: number;
  /** How long a request key is kept, in milliseconds. */
  readonly keyRetentionMs: number;
}

/** Limits on the requests that wait for a free slot. */
export interface QueueConfig {
  /** Requests that may be queued in one entry VM. */
  readonly maxLength: number;
  /** Queueing time above which a persistent queue sheds requests, as in CoDel, in milliseconds. */
  readonly standingMs: number;
}

/** Service-level objective of a service, for the burn report. */
export interface ObjectiveConfig {
  readonly latencyMs: number;
  /** Share of requests to be answered successfully within `latencyMs`, between 0 and 1. */
  readonly share: number;
}

/** Configuration of one service, from its file. */
export interface ServiceConfig {
  readonly name: ServiceName;
  /** Path prefix that selects the service if the Host header does not, such as `/horaires`. */
  readonly pathPrefix?: string;
  readonly capacity: CapacityConfig;
  readonly probe: ProbeConfig;
  readonly repeat: RepeatConfig;
  readonly queue: QueueConfig;
  readonly objective: ObjectiveConfig;
  /** Time limit of a request whose caller sets no deadline, in milliseconds. */
  readonly timeoutMs: number;
  /** Port of the service's targets; used if they come from the VM list. */
  readonly port: number;
  /** Targets listed in the file; empty if they come from the VM list. */
  readonly targets: readonly TargetConfig[];
}

/** One complete, accepted configuration. */
export interface FleetConfig {
  /** Increases by one with each accepted publication; an entry VM never adopts an earlier one. */
  readonly generation: number;
  readonly zones: readonly ZoneConfig[];
  readonly services: readonly ServiceConfig[];
}

/** Summary of an accepted publication, for later publishers. */
export interface Publication {
  readonly generation: number;
  readonly nonce: string;
  /** Services that it added, changed or removed; `zones` if it changed the availability zones. */
  readonly changed: readonly string[];
}

/** The store's object `config/root`. Writing it makes a configuration the accepted one. */
export interface ConfigRoot {
  readonly generation: number;
  readonly zones: readonly ZoneConfig[];
  /** Hash of each service's description, which is stored at `config/services/NAME/HASH`. */
  readonly services: Readonly<Record<ServiceName, string>>;
  /**
   * Distinguishes two publishers of the same generation, so that a publisher whose answer was lost
   * can tell whether its write took effect.
   */
  readonly nonce: string;
  /** The latest publications, this one last; used by publishers only. */
  readonly recent?: readonly Publication[];
}

/** The store's object `config/services/NAME/HASH`; its description never changes. */
export interface ServiceObject {
  readonly hash: string;
  readonly service: ServiceConfig;
  /** Latest generation that the object was written for; protects it from garbage collection. */
  readonly writtenFor?: number;
}

/** State of a VM in the platform's VM list, which lags behind the actual state. */
export type VmState = 'live' | 'leaving';

/** One row of the platform's VM list. */
export interface VmListEntry {
  readonly name: string;
  readonly zone: ZoneName;
  /** IP address, without port. */
  readonly ip: string;
  readonly state: VmState;
  /** Service whose target runs on the VM; absent for other VMs. */
  readonly service?: ServiceName;
}
