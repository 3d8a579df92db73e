import type { ServiceName, TargetId, ZoneName } from '../core/model/index.js';
import type { OutcomeCounts } from './TargetOutcomes.js';

/** One of the services that a route sends requests to, with its weight. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Weight relative to the route's other services. */
  readonly weight: number;
}

/** Rules for the requests of one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may safely run more than once. */
  readonly isIdempotent: boolean;
  /** Latency objective, in milliseconds; a later answer is worth less to the caller. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Maximum time until a caller is answered, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum number of targets that one request is sent to. */
  readonly maxTargets: number;
  /** Whether requests need no API key. */
  readonly isAuthExempt?: boolean;
}

/** Limit on the requests of an organisation, for all entry VMs together. */
export interface Quota {
  readonly ratePerSecond: number;
  /** Requests that may come on top of the rate at once. */
  readonly burst: number;
}

/** A customer of the operator, whose callers are recognised by API keys. */
export interface Organisation {
  readonly name: string;
  /** Digests of its API keys, as `digestApiKey` makes them. */
  readonly keyDigests: readonly string[];
  /** Goes before the priority of a route; 0 is the most urgent. */
  readonly priority?: number;
  /** Undefined if its requests are not limited. */
  readonly quota?: Quota;
}

/** Settings that apply to all targets of a service. */
export interface ServicePolicy {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Maximum number of connections that a target accepts from all entry VMs together. */
  readonly maxConnections: number;
  /** Requests per second that a cold target can handle from all entry VMs together. */
  readonly coldRequestsPerSecond: number;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may stay open without a request, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One complete accepted configuration. */
export interface RoutingTable {
  /** Increases with each accepted configuration; a process never returns to an older one. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServicePolicy[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no API keys. */
  readonly organisations?: readonly Organisation[];
}

/** What a target has registered about itself. */
export interface TargetRegistration {
  readonly id: TargetId;
  readonly service: ServiceName;
  /** IP address and port. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Version of the target's software. */
  readonly version: string;
  /**
   * Start time of the target's process, Unix milliseconds; distinguishes processes that use the
   * same id. 0 if unknown.
   */
  readonly bornAt: number;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time for which the target says it is cold, in milliseconds. */
  readonly coldMs: number;
}

/** What an entry VM has announced about itself. */
export interface VmAnnouncement {
  readonly name: string;
  readonly zone: ZoneName;
  /** Address for callers: IP address and port. */
  readonly callers: string;
  /** Address for other entry VMs: IP address and port. */
  readonly peers: string;
  /** Bandwidth of its network link, in Mbit/s; 0 if unknown. */
  readonly linkMbps: number;
}

/**
 * Entry VMs announced by one of them: itself, and others that asked it to announce them when all
 * VMs started together.
 */
export interface VmRoster {
  readonly vms: readonly VmAnnouncement[];
}

/** How attempts of one VM at one run of a target have ended. */
export interface OutcomeReport {
  readonly target: TargetId;
  readonly bornAt: number;
  readonly counts: OutcomeCounts;
}

/** Load that a target has reported in a probe's result or in an answer. */
export interface LoadReading {
  /** When the load was read; monotonic milliseconds of this process. */
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times as long work currently takes on the target's VM; 1 is normal. */
  readonly slowdown: number;
  readonly isHealthy: boolean;
}

/**
 * Limit that an answer advertises: requests per second that its target accepts from all entry VMs
 * together. Undefined if the answer names no limit.
 */
export type AdvertisedLimit = number | 'unreadable' | undefined;

/**
 * Pause that a rejection asks for: time in milliseconds for which its target wants no requests from
 * this VM. Undefined if the answer asks for none.
 */
export type RequestedPause = number | 'unreadable' | undefined;

/** What an answer states about its target, whatever becomes of the request. */
export interface TargetStatements {
  readonly pauseMs?: RequestedPause;
  /** Whether the target is shutting down. */
  readonly isDraining?: boolean;
  /** Names of headers that state something which this version of masticlink does not know. */
  readonly unreadHeaders?: readonly string[];
}
