/** A period in which some VMs are cut off from the others, or down. */
export interface QuotaOutage {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Organisations, their load, and faults of a comparison of ways to enforce quotas. */
export interface QuotaLabPlan {
  readonly vms: number;
  readonly organisations: number;
  /** Exponent of the Zipf distribution of the organisations' rates. */
  readonly exponent: number;
  /** Requests per second of all organisations together. */
  readonly perSecond: number;
  /** Limit of an organisation as a multiple of its usual rate. */
  readonly limitFactor: number;
  /** Burst of an organisation, in seconds of its limit. */
  readonly burstSeconds: number;
  /** One organisation sends `factor` times its usual rate. */
  readonly surge: QuotaOutage & { readonly organisation: number; readonly factor: number };
  /** Share of the VMs that are cut off from the others while callers still reach them. */
  readonly cutOff: QuotaOutage & { readonly share: number };
  /** The VM that issues or coordinates first for the organisation of the surge is down. */
  readonly killed: QuotaOutage;
  /** The limit of one organisation is multiplied by `factor`. */
  readonly lowered: {
    readonly organisation: number;
    readonly fromMs: number;
    readonly factor: number;
  };
  /** Share of the sent requests that targets reject without running them. */
  readonly rejectShare: number;
  readonly delayMs: number;
  /** Requests before this time do not count as refused. Buckets are empty when all VMs start. */
  readonly countFromMs: number;
  readonly untilMs: number;
}

/**
 * Makes a plan of the size of the first deployment, with all faults.
 * @param changes - Overrides of the defaults.
 * @example
 * const plan = makeQuotaPlan({ vms: 20, perSecond: 200 });
 */
export function makeQuotaPlan(changes: Partial<QuotaLabPlan> = {}): QuotaLabPlan {
  return {
    vms: 98,
    organisations: 73,
    exponent: 1.2,
    perSecond: 850,
    limitFactor: 1.6,
    burstSeconds: 1,
    surge: { organisation: 3, factor: 8, fromMs: 10_000, untilMs: 25_000 },
    cutOff: { share: 0.1, fromMs: 14_000, untilMs: 18_000 },
    killed: { fromMs: 20_000, untilMs: 23_000 },
    lowered: { organisation: 1, fromMs: 28_000, factor: 0.5 },
    rejectShare: 0.02,
    delayMs: 0.7,
    countFromMs: 8_000,
    untilMs: 36_000,
    ...changes,
  };
}

const FOREVER = { fromMs: Number.POSITIVE_INFINITY, untilMs: Number.POSITIVE_INFINITY };

const NO_FAULTS: Partial<QuotaLabPlan> = {
  cutOff: { share: 0, ...FOREVER },
  killed: FOREVER,
  lowered: { organisation: 0, fromMs: Number.POSITIVE_INFINITY, factor: 1 },
  rejectShare: 0,
};

/** Plans by name. */
export const QUOTA_PLANS: Readonly<Record<string, QuotaLabPlan>> = {
  start: makeQuotaPlan({
    ...NO_FAULTS,
    surge: { organisation: 0, factor: 1, ...FOREVER },
    countFromMs: 0,
    untilMs: 8_000,
  }),
  quiet: makeQuotaPlan({
    ...NO_FAULTS,
    surge: { organisation: 0, factor: 1, ...FOREVER },
    untilMs: 20_000,
  }),
  noBurst: makeQuotaPlan({
    ...NO_FAULTS,
    burstSeconds: 0,
    surge: { organisation: 0, factor: 1, ...FOREVER },
    untilMs: 20_000,
  }),
  surge: makeQuotaPlan(NO_FAULTS),
  faults: makeQuotaPlan(),
};
