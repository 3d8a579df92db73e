import type { ServiceName, TargetId, ZoneName } from '../core/model/index.js';

/** One of the services that a route's requests go to, and its part of them. */
export interface WeightedService {
  readonly service: ServiceName;
  /** Share relative to the other parts of the route. */
  readonly weight: number;
}

/** Requests of one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Time within which an answer has its full worth to the caller, in milliseconds. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Longest that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Targets that one request may be sent to. */
  readonly maxTargets: number;
}

/** What holds for all targets of a service. */
export interface ServiceRules {
  readonly name: ServiceName;
  readonly healthPath: string;
  /** Connections that a target accepts from all entry VMs together. */
  readonly maxConnections: number;
  /** Requests a second that a cold target bears from all entry VMs together. */
  readonly coldRequestsPerSecond: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  /** How long a connection may stay open without a request, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One accepted configuration as a whole. */
export interface RoutingTable {
  /** Grows with each accepted configuration; a process never goes back. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceRules[];
  readonly limits: CallerLimits;
}

/** What a target has registered of itself. */
export interface TargetEntry {
  readonly id: TargetId;
  readonly service: ServiceName;
  /** IP number and port. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Version of its software. */
  readonly version: string;
  /** Unix milliseconds of its start: tells apart two processes under one id. 0 if not told. */
  readonly bornAt: number;
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer it said that it stays cold, in milliseconds. */
  readonly coldMs: number;
}

/** What an entry VM has announced of itself. */
export interface VmEntry {
  readonly name: string;
  readonly zone: ZoneName;
  /** Where callers connect: IP number and port. */
  readonly callers: string;
  /** Where other entry VMs connect: IP number and port. */
  readonly peers: string;
  /** Bandwidth of its network link, in Mbit/s; 0 if it did not tell. */
  readonly linkMbps: number;
}

/**
 * Entry VMs that one of them has announced: itself, and others that asked it to when all started
 * together.
 */
export interface VmRoster {
  readonly vms: readonly VmEntry[];
}

/** What a target said of its load in answer to a probe or with an answer. */
export interface LoadReading {
  /** When it was taken; monotonic milliseconds of this process. */
  readonly at: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the target's VM now; 1 is as usual. */
  readonly slowdown: number;
  readonly isHealthy: boolean;
}

/**
 * What an answer says of the requests a second that its target takes from all entry VMs together:
 * undefined if it names no limit.
 */
export type NamedLimit = number | 'unreadable' | undefined;
