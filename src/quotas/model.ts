/** How far the quotas of organisations may be exceeded, all entry VMs together. */
export interface QuotaBound {
  /** Length of the sliding window, in milliseconds. */
  readonly windowMs: number;
  /** Share of a window's requests that may come on top. */
  readonly overage: number;
  /** Requests that may come on top in a window. */
  readonly slack: number;
}

/** The bound where the settings name none. */
export const DEFAULT_QUOTA_BOUND: QuotaBound = { windowMs: 5_000, overage: 0.1, slack: 20 };

/** Asks for a permit to send one request of an organisation. */
export interface QuotaAsk {
  readonly organisation: string;
  /** Id that the asking VM gave the ask. */
  readonly ask: number;
}

/** Answers a `QuotaAsk`. */
export interface QuotaAnswer extends QuotaAsk {
  readonly isGranted: boolean;
  /** Time after which there will be a permit if none is granted, in milliseconds. */
  readonly waitMs: number;
}
