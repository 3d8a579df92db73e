import type { BalancingSettings, VmAnnouncement } from '../balancing/index.js';

import type { ListenAddress } from './EntrySettings.js';

/** What a gateway's settings file says, checked. */
export interface GatewaySettings {
  readonly self: VmAnnouncement;
  /** Whether all VMs start together for the first time. */
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
  /** Peer addresses of entry VMs that may be up, to ask while the store is away. */
  readonly seeds: readonly string[];
  readonly balancing: BalancingSettings;
  /** Time from SIGTERM until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Longest that callers keep the addresses they are told, in milliseconds. */
  readonly addressTtlMostMs: number;
}
