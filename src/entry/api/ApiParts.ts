import type { CoreEvent, EntryState } from '../../core/index.js';
import type { Clock } from '../../timing/index.js';
import type { EntryMetrics } from '../metrics/EntryMetrics.js';

/** Dependencies of the process API. */
export interface ApiParts {
  /** Read-only. */
  readonly state: EntryState;
  readonly clock: Clock;
  readonly metrics: EntryMetrics;
  readonly adminToken: string;
  readonly dispatch: (event: CoreEvent) => void;
}

/** Injection token by which nest provides the dependencies to the controllers. */
export const API_PARTS = Symbol('API_PARTS');
