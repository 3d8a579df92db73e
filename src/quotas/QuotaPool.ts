import type { Quota } from '../balancing/model.js';
import { SlackShare } from '../balancing/SlackShare.js';
import { hashText } from '../core/hash.js';
import type { RequestId } from '../core/model/index.js';
import { getOwners, UNRESPONSIVE_RETRY_MS } from '../limits/index.js';
import { getQuotaBucket, getUncoordinatedShare } from './getQuotaBucket.js';
import type { QuotaBound } from './model.js';
import { DEFAULT_QUOTA_BOUND } from './model.js';

/**
 * An ask that has ended is remembered for this time, in milliseconds, so that a permit which is
 * granted late can be returned.
 */
const ENDED_ASK_TTL_MS = 2_000;

/** Ask ids of a process start below this number, drawn at random. */
const FIRST_ASK_RANGE = 2 ** 31;

/**
 * After how long a caller may retry if this VM reaches no issuer, in milliseconds; most other VMs do.
 */
const UNREACHABLE_RETRY_MS = 50;

const MS_PER_SECOND = 1_000;

/** What a request has met while it asked for a permit. */
export interface AskHistory {
  /** VMs that were asked. */
  readonly asked: readonly string[];
  /** Number of them that had no permit. */
  readonly denials: number;
  /** Number of them that did not answer. */
  readonly silences: number;
}

/** History of a request that has not asked for a permit. */
export const NO_ASKS: AskHistory = { asked: [], denials: 0, silences: 0 };

/** An ask that awaits its answer. */
export interface OpenAsk {
  readonly request: RequestId;
  readonly organisation: string;
  /** VM that was asked. */
  readonly vm: string;
  /** What the request met before. */
  readonly history: AskHistory;
}

/** An ask whose answer is not awaited any more. */
export interface EndedAsk {
  readonly organisation: string;
  readonly vm: string;
  /** Monotonic milliseconds. */
  readonly expiresAt: number;
}

/** The VM to ask next for a permit. */
export type IssuerChoice =
  | { readonly kind: 'ask'; readonly vm: string }
  /** All issuers that answer have told this VM to wait, or have been asked for this request. */
  | { readonly kind: 'wait' }
  /** No issuer answers. */
  | { readonly kind: 'unreachable' };

/** Requests of an organisation at this VM since its process started. */
export interface QuotaCounts {
  granted: number;
  refused: number;
}

interface OrganisationPermits {
  quota: Quota;
  /** VMs that may issue, in the order in which they do. */
  owners: readonly string[];
  /** Number of them that issue while all of them answer. */
  issuers: number;
  /** VMs that `owners` was selected from; undefined if it has to be selected again. */
  vms: readonly string[] | undefined;
  /** When each issuer may be asked again; monotonic milliseconds. */
  readonly retryAt: Map<string, number>;
  /** Decides which issuer is asked next. */
  turn: number;
  /** When requests were passed on without a permit; monotonic milliseconds. */
  uncoordinated: number[];
  readonly counts: QuotaCounts;
}

/** What the choice of an issuer depends on besides the pool's own state. */
export interface IssuerQuery {
  readonly organisation: string;
  readonly quota: Quota;
  /** Names of the listed entry VMs. */
  readonly vms: readonly string[];
  /** Names of the entry VMs that are up. */
  readonly liveVms: readonly string[];
  readonly history: AskHistory;
}

/** Permits of organisations that this VM has asked for, and whom it asks next. */
export class QuotaPool {
  /** How far quotas may be exceeded. */
  readonly bound: QuotaBound;

  /** @internal */
  private readonly byOrganisation = new Map<string, OrganisationPermits>();

  /** When each unresponsive VM may be asked again; monotonic milliseconds. @internal */
  private readonly unresponsiveUntil = new Map<string, number>();

  /** @internal */
  private readonly openAsks = new Map<number, OpenAsk>();

  /** Asks that have ended without an answer, oldest first. @internal */
  private readonly endedAsks = new Map<number, EndedAsk>();

  /** @internal */
  private lastAsk: number | undefined;

  /** VMs that are up, as last named. @internal */
  private live: { readonly names: readonly string[]; readonly set: ReadonlySet<string> } = {
    names: [],
    set: new Set(),
  };

  /** Number of VMs that the uncoordinated share is divided by. @internal */
  private readonly share: SlackShare;

  /** @param bound - How far quotas may be exceeded; the default applies if it is undefined. */
  constructor(bound: QuotaBound | undefined) {
    this.bound = bound ?? DEFAULT_QUOTA_BOUND;
    this.share = new SlackShare(this.bound.windowMs);
  }

  /** Requests at this VM and limits, by organisation. */
  get figures(): ReadonlyMap<string, QuotaCounts & { readonly perSecond: number }> {
    return new Map(
      [...this.byOrganisation].map(([name, { counts, quota }]) => [
        name,
        { ...counts, perSecond: quota.ratePerSecond },
      ]),
    );
  }

  /**
   * Records how many VMs share what is used without a permit.
   * @param vms - Number of listed entry VMs.
   * @param now - Monotonic milliseconds.
   * @param isListed - Whether this VM is one of them.
   */
  recordVms(vms: number, now: number, isListed: boolean): void {
    this.share.recordVms(vms, now, isListed);
  }

  /**
   * VMs that may issue an organisation's permits, in order; the first ones that answer do.
   * @param organisation - Name of the organisation.
   * @param quota - Its quota.
   * @param vms - Names of the listed entry VMs.
   */
  getOwners(organisation: string, quota: Quota, vms: readonly string[]): readonly string[] {
    return this.selectOwners(organisation, quota, vms).owners;
  }

  /**
   * Chooses the VM to ask next. The issuers take turns, beginning with one that depends on the asking
   * VM, so that each gets the same share of the asks wherever requests arrive.
   * @param query - Organisation, VMs and what the request has met.
   * @param vm - Name of the asking VM.
   * @param now - Monotonic milliseconds.
   */
  chooseIssuer(query: IssuerQuery, vm: string, now: number): IssuerChoice {
    const { organisation, quota, history } = query;
    const issuers = this.getResponsive(query, now);
    if (issuers.length === 0) return { kind: 'unreachable' };
    const permits = this.getOrCreate(organisation, quota);
    const first = (hashText(vm) + permits.turn) % issuers.length;
    const inTurn = [...issuers.slice(first), ...issuers.slice(0, first)];
    const next = inTurn.find(
      (each) => (permits.retryAt.get(each) ?? 0) <= now && !history.asked.includes(each),
    );
    if (next === undefined) return { kind: 'wait' };
    permits.turn += 1;
    return { kind: 'ask', vm: next };
  }

  /**
   * Records that an ask is sent; returns its id.
   * @param ask - The ask.
   * @param random - Source of the first id: an answer to an ask of this VM's former process must not
   * be taken for an answer to one of this process.
   */
  startAsk(ask: OpenAsk, random: () => number): number {
    this.lastAsk = (this.lastAsk ?? Math.floor(random() * FIRST_ASK_RANGE)) + 1;
    this.openAsks.set(this.lastAsk, ask);
    return this.lastAsk;
  }

  /**
   * Removes and returns an ask that has been answered.
   * @param id - Id of the ask.
   * @param organisation - Organisation that the answer names.
   * @returns Undefined if no such ask is open.
   */
  takeAnswered(id: number, organisation: string): OpenAsk | undefined {
    const ask = this.openAsks.get(id);
    if (ask?.organisation !== organisation) return undefined;
    this.openAsks.delete(id);
    this.unresponsiveUntil.delete(ask.vm);
    return ask;
  }

  /**
   * Ends an ask without an answer.
   * @param id - Id of the ask.
   * @param now - Monotonic milliseconds.
   */
  endAsk(id: number, now: number): OpenAsk | undefined {
    const ask = this.openAsks.get(id);
    if (ask === undefined) return undefined;
    this.openAsks.delete(id);
    this.removeExpired(now);
    const { organisation, vm } = ask;
    this.endedAsks.set(id, { organisation, vm, expiresAt: now + ENDED_ASK_TTL_MS });
    return ask;
  }

  /**
   * Returns the ask that a late answer belongs to, once.
   * @param id - Id of the ask.
   * @param now - Monotonic milliseconds.
   */
  takeEnded(id: number, now: number): EndedAsk | undefined {
    this.removeExpired(now);
    const ask = this.endedAsks.get(id);
    this.endedAsks.delete(id);
    return ask;
  }

  /**
   * Records that a VM did not answer.
   * @returns Whether it counted as responsive before.
   */
  recordSilence(vm: string, now: number): boolean {
    const wasResponsive = (this.unresponsiveUntil.get(vm) ?? 0) <= now;
    this.unresponsiveUntil.set(vm, now + UNRESPONSIVE_RETRY_MS);
    return wasResponsive;
  }

  /** Records that an issuer has no permit to grant for a while. */
  recordDenial(organisation: string, quota: Quota, vm: string, waitMs: number, now: number): void {
    this.getOrCreate(organisation, quota).retryAt.set(vm, now + waitMs);
  }

  /**
   * Uses this VM's part of the uncoordinated share for one request.
   * @returns Whether there was any.
   */
  tryUncoordinated(organisation: string, quota: Quota, now: number): boolean {
    const permits = this.getOrCreate(organisation, quota);
    const vms = this.share.getVms(now);
    if (vms === undefined) return false;
    permits.uncoordinated = permits.uncoordinated.filter((at) => at > now - this.bound.windowMs);
    const { length } = permits.uncoordinated;
    if (length + 1 > getUncoordinatedShare(this.bound) / vms) return false;
    permits.uncoordinated.push(now);
    return true;
  }

  /** Counts a request that may be sent or is refused. */
  count(organisation: string, quota: Quota, outcome: keyof QuotaCounts): void {
    this.getOrCreate(organisation, quota).counts[outcome] += 1;
  }

  /**
   * Returns after how long an issuer has a permit, as far as this VM has been told, in milliseconds.
   * @param organisation - Name of the organisation.
   * @param now - Monotonic milliseconds.
   * @param chance - Uniform in [0, 1). Callers that are refused together must not return together.
   */
  getRetryMs(organisation: string, now: number, chance: number): number {
    const permits = this.byOrganisation.get(organisation);
    if (permits === undefined) return 0;
    const times = [...permits.retryAt.values()].filter((at) => at > now).sort((a, b) => a - b);
    const intervalMs = MS_PER_SECOND / permits.quota.ratePerSecond;
    const firstMs = (times.at(0) ?? now + UNREACHABLE_RETRY_MS) - now;
    const lastMs = Math.max((times.at(-1) ?? now) - now, firstMs + intervalMs);
    return Math.ceil(firstMs + (lastMs - firstMs) * chance);
  }

  /**
   * Applies the quotas of a configuration. What issuers said about a quota that has changed counts no
   * longer.
   * @param getQuota - Quota of an organisation; undefined if it has none.
   */
  applyQuotas(getQuota: (organisation: string) => Quota | undefined): void {
    for (const [name, permits] of this.byOrganisation) {
      const quota = getQuota(name);
      if (quota === undefined) this.byOrganisation.delete(name);
      else QuotaPool.updateQuota(permits, quota);
    }
  }

  /** The issuers that answer, in the order that is the same on all VMs. @internal */
  private getResponsive(
    { organisation, quota, vms, liveVms }: IssuerQuery,
    now: number,
  ): readonly string[] {
    if (this.live.names !== liveVms) this.live = { names: liveVms, set: new Set(liveVms) };
    const { owners, issuers } = this.selectOwners(organisation, quota, vms);
    return owners
      .filter((vm) => (this.unresponsiveUntil.get(vm) ?? 0) <= now && this.live.set.has(vm))
      .slice(0, issuers);
  }

  /** @internal */
  private selectOwners(
    organisation: string,
    quota: Quota,
    vms: readonly string[],
  ): Pick<OrganisationPermits, 'owners' | 'issuers'> {
    const permits = this.getOrCreate(organisation, quota);
    if (permits.vms === vms) return permits;
    const { issuers, maxIssuers } = getQuotaBucket(quota, this.bound, vms.length);
    permits.vms = vms;
    permits.issuers = issuers;
    permits.owners = getOwners(organisation, vms, maxIssuers);
    return permits;
  }

  /** @internal */
  private removeExpired(now: number): void {
    for (const [id, { expiresAt }] of this.endedAsks) {
      if (expiresAt > now) return;
      this.endedAsks.delete(id);
    }
  }

  /** @internal */
  private static updateQuota(permits: OrganisationPermits, quota: Quota): void {
    const { ratePerSecond, burst } = permits.quota;
    if (quota.ratePerSecond === ratePerSecond && quota.burst === burst) return;
    permits.quota = quota;
    permits.vms = undefined;
    permits.retryAt.clear();
  }

  /** @internal */
  private getOrCreate(organisation: string, quota: Quota): OrganisationPermits {
    let permits = this.byOrganisation.get(organisation);
    if (permits === undefined) {
      permits = {
        quota,
        owners: [],
        issuers: 0,
        vms: undefined,
        retryAt: new Map(),
        turn: 0,
        uncoordinated: [],
        counts: { granted: 0, refused: 0 },
      };
      this.byOrganisation.set(organisation, permits);
    }
    return permits;
  }
}
