import type { Quota } from '../balancing/index.js';
import type { ConfiguredOrganisation } from '../platform/standIn/index.js';

/** An API key and the time for which the published configuration has it, in Unix milliseconds. */
export interface SoakKey {
  readonly key: string;
  readonly organisation: string;
  /** 0 if the first configuration has it. */
  readonly addedAt: number;
  removedAt?: number;
}

/** How a caller identifies itself in one request. */
export interface SoakIdentity {
  readonly apiKey?: string;
  /** Organisations that it claims to belong to. */
  readonly claims: readonly string[];
  /** Whether the request is for the route that needs no key. */
  readonly isExempt: boolean;
  /** Whether it may be refused while no fault is active. */
  readonly mayBeRefused: boolean;
}

/** An organisation of a soak. */
export interface SoakOrganisation {
  readonly name: string;
  /** Undefined if it has no limit. */
  readonly quota?: Quota;
}

/** Name of the organisation without a limit whose key is never removed. */
const STEADY = 'steady';

/** Name of the organisation whose keys are added and removed. */
export const ROTATING = 'rotating';

/** Name of the organisation that at times sends many times its usual rate. */
export const BUSY = 'busy';

/** Organisations; only the last one ever exceeds its limit. */
export const SOAK_ORGANISATIONS: readonly SoakOrganisation[] = [
  { name: STEADY },
  { name: ROTATING },
  { name: 'small', quota: { ratePerSecond: 12, burst: 10 } },
  { name: BUSY, quota: { ratePerSecond: 6, burst: 5 } },
];

/** Shares of requests with no key, with an unknown key, and for the exempt route. */
const MISSING_SHARE = 0.03;
const UNKNOWN_SHARE = 0.05;
const EXEMPT_SHARE = 0.1;

/** Share of requests that claim organisations. */
const CLAIM_SHARE = 0.3;

/** Shares of the other requests by organisation; the rest is of the first one. */
const ORGANISATION_SHARES: Readonly<Record<string, number>> = {
  [ROTATING]: 0.25,
  small: 0.1,
  [BUSY]: 0.05,
};

/** Organisations of a soak, with the history of their API keys. */
export class SoakOrganisations {
  readonly keys: SoakKey[] = SOAK_ORGANISATIONS.map(({ name }) => ({
    key: `key-of-${name}`,
    organisation: name,
    addedAt: 0,
  }));

  /** Keys that callers of the organisation with changing keys use, removed ones included. */
  readonly rotatingKeys: string[] = [`key-of-${ROTATING}`];

  /** @param random - Uniform in [0, 1). */
  constructor(private readonly random: () => number) {}

  /** A key that is always valid and has no limit. */
  get steadyKey(): string {
    return `key-of-${STEADY}`;
  }

  /** Returns the organisations as an operator configures them now. */
  list(): ConfiguredOrganisation[] {
    return SOAK_ORGANISATIONS.map(({ name, quota }) => ({
      name,
      apiKeys: this.keys
        .filter(({ organisation, removedAt }) => organisation === name && removedAt === undefined)
        .map(({ key }) => key),
      quota,
    }));
  }

  /** Adds a key; the caller publishes the configuration. */
  addKey(organisation: string): SoakKey {
    const key = {
      key: `key-${this.keys.length}-of-${organisation}`,
      organisation,
      addedAt: Date.now(),
    };
    this.keys.push(key);
    return key;
  }

  /** Draws how a caller identifies itself. */
  drawIdentity(): SoakIdentity {
    const isExempt = this.random() < EXEMPT_SHARE;
    const claims = this.random() < CLAIM_SHARE ? [BUSY, STEADY, 'other'] : [];
    const kind = this.random();
    const hasNoKey = kind < MISSING_SHARE;
    if (hasNoKey || kind < MISSING_SHARE + UNKNOWN_SHARE) {
      const apiKey = hasNoKey ? undefined : `unknown-${Math.floor(this.random() * 1e6)}`;
      return { apiKey, claims, isExempt, mayBeRefused: !isExempt };
    }
    const organisation = this.drawOrganisation();
    const mayBeRefused = organisation === BUSY || (organisation === ROTATING && !isExempt);
    return { apiKey: this.drawKey(organisation), claims, isExempt, mayBeRefused };
  }

  /** @internal */
  private drawOrganisation(): string {
    let left = this.random();
    const drawn = Object.entries(ORGANISATION_SHARES).find(([, share]) => {
      left -= share;
      return left < 0;
    });
    return drawn?.[0] ?? STEADY;
  }

  /** @internal */
  private drawKey(organisation: string): string {
    if (organisation !== ROTATING) return `key-of-${organisation}`;
    return this.rotatingKeys[Math.floor(this.random() * this.rotatingKeys.length)];
  }
}
