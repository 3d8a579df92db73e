import type { Member } from './model/index.js';

/** The settings of a process that affect the core's decisions. Times in milliseconds. */
export interface CoreSettings {
  readonly self: Member;
  readonly region: string;
  /** Partitions that each zone's targets are divided into; the same in every process. */
  readonly partitionsPerZone: number;
  readonly leaseDurationMs: number;
  readonly leaseRenewMs: number;
  /** Added to the end of a lease before another process acts; allows for unequal clock rates. */
  readonly leaseMarginMs: number;
  /**
   * Time without a confirmation of the configuration by the store or a majority of the members,
   * after which new requests are not accepted.
   */
  readonly freshnessMs: number;
  /** How long callers may keep an address answer. */
  readonly addressTtlMs: number;
  /** Store writes per second of the whole fleet; each entry VM uses its share. */
  readonly storeWritesPerSecond: number;
  /** Store reads per second of the whole fleet; each entry VM uses its share. */
  readonly storeReadsPerSecond: number;
  /**
   * Most entry VMs that may run at the same time. Half of the store budget is divided by this
   * number, so that processes with no view of the fleet, or a wrong one, don't exceed the budget
   * together.
   */
  readonly maxEntryVms: number;
  /** Entry VMs that watch the configuration in the store; the others receive it from peers. */
  readonly configurationWatchers: number;
  /** Partitions that request keys are divided into. */
  readonly keyPartitions: number;
  /** Network delay between two entry VMs, used to decide between forwarding and queueing. */
  readonly peerDelayMs: number;
}

/** Defaults of all settings except the process's own identity. */
export const DEFAULT_CORE_SETTINGS: Omit<CoreSettings, 'self' | 'region'> = {
  partitionsPerZone: 32,
  leaseDurationMs: 1_500,
  leaseRenewMs: 500,
  leaseMarginMs: 150,
  freshnessMs: 2_000,
  addressTtlMs: 5_000,
  storeWritesPerSecond: 300,
  storeReadsPerSecond: 1_000,
  maxEntryVms: 32,
  configurationWatchers: 5,
  keyPartitions: 16,
  peerDelayMs: 1,
};
