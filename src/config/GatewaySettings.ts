import type { BalancingSettings, VmAnnouncement } from '../balancing/index.js';

import type { ListenAddress } from './EntrySettings.js';

/** Validated settings of a gateway. */
export interface GatewaySettings {
  readonly self: VmAnnouncement;
  /** Whether all VMs of the deployment start together for the first time. */
  readonly isFirstStart: boolean;
  readonly listen: {
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly addresses: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };
  /** IP number and port of the platform's store. */
  readonly storeAddress: string;
  /** Peer addresses of entry VMs that may be running, queried while the store is unavailable. */
  readonly seeds: readonly string[];
  readonly balancing: BalancingSettings;
  /** Shortest time in which any change of the store has to be in force, in milliseconds. */
  readonly changeBoundMs: number;
  /** Time from SIGTERM until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Memory that the process may use, in megabytes. */
  readonly memoryMb: number;
  /** Maximum time for which callers may cache the addresses that they receive, in milliseconds. */
  readonly addressTtlMostMs: number;
}
