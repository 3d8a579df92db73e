import type { CoreSettings } from '../core/index.js';

/** IP number and port that a process listens on; port 0 selects any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Limits on the memory and connections that callers may use in an entry VM. */
export interface RequestBounds {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Request bodies up to this size are buffered so that the request can be retried. */
  readonly replayBytes: number;
  /** Answers up to this size are stored under their request key. */
  readonly storedAnswerBytes: number;
  /** Maximum number of connections from callers. */
  readonly callerConnections: number;
}

/** Level and format of a process's log. */
export interface LogSettings {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  /** `auto`: text on a terminal, JSON lines elsewhere. */
  readonly format: 'auto' | 'text' | 'json';
}

/** Validated settings of an entry process. */
export interface EntrySettings {
  readonly core: CoreSettings;
  readonly listen: ListenAddress;
  readonly peerListen: ListenAddress;
  /** Base URL of the platform's object store, such as `http://10.0.0.5:7000`. */
  readonly storeUrl: string;
  readonly storeTimeoutMs: number;
  /** URL of the platform's VM list. */
  readonly vmListUrl: string;
  readonly vmListPeriodMs: number;
  /** Token of the administration API. */
  readonly adminToken: string;
  readonly bounds: RequestBounds;
  readonly log: LogSettings;
}
