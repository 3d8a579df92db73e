import { findWorstQuotaWindows } from '../lab/index.js';
import type { ReceivedIdentity } from '../platform/standIn/index.js';
import type { RunRecord } from './checkSoak.js';
import type { ArrivalRecord } from './retryWindows.js';
import type { CallerRecord } from './SoakCallers.js';
import type { SoakKey, SoakOrganisation } from './SoakOrganisations.js';

/** What a request that reached a target said about its caller. */
export interface IdentityRecord {
  readonly id: string;
  readonly target: string;
  readonly identity: ReceivedIdentity;
}

/** Observations of a soak with organisations. */
export interface OrganisationObservations {
  readonly organisations: readonly SoakOrganisation[];
  readonly keys: readonly SoakKey[];
  readonly identities: readonly IdentityRecord[];
  /** Periods in which a gateway was not in touch with the others or the store. */
  readonly disturbed: readonly {
    readonly port: number;
    /** IP address that the gateway's connections come from. */
    readonly source: string;
    readonly from: number;
    readonly until: number;
  }[];
}

/** Observations of callers and targets in the same soak. */
export interface OrganisationTraffic {
  readonly callers: readonly CallerRecord[];
  readonly runs: readonly RunRecord[];
  readonly arrivals?: readonly ArrivalRecord[];
}

/** Time within which gateways in touch must apply a configuration, in milliseconds. */
const CONFIG_APPLY_MS = 2_500;

/** Time that a request may take from its sender to the gateway's decision, in milliseconds. */
const TRANSIT_MS = 200;

/** Bound of quotas, as in the gateways' default settings. */
export const QUOTA_BOUND = { windowMs: 5_000, overage: 0.1, slack: 20 };

const UNAUTHORIZED = 401;

/** Whether the key of a request was valid when its gateway decided on it. */
type KeyState =
  | 'valid'
  | 'invalid'
  /** It was added or removed too recently for all gateways to know. */
  | 'changing';

/** Key states and disturbances, by request. */
class KeyHistory {
  /** @internal */
  private readonly keys: ReadonlyMap<string, SoakKey>;

  constructor(private readonly seen: OrganisationObservations) {
    this.keys = new Map(seen.keys.map((each) => [each.key, each]));
  }

  getOwner({ apiKey = '' }: CallerRecord): string | undefined {
    return this.keys.get(apiKey)?.organisation;
  }

  getState({ apiKey = '', sentAt, endedAt = sentAt }: CallerRecord): KeyState {
    const key = this.keys.get(apiKey);
    if (key === undefined) return 'invalid';
    const { addedAt, removedAt = Infinity } = key;
    if (sentAt > removedAt + CONFIG_APPLY_MS + TRANSIT_MS) return 'invalid';
    const isInForce = addedAt === 0 || sentAt > addedAt + CONFIG_APPLY_MS;
    return isInForce && endedAt < removedAt ? 'valid' : 'changing';
  }

  /** Whether the configuration always was the same for this key. */
  isPermanent({ apiKey = '' }: CallerRecord): boolean {
    const key = this.keys.get(apiKey);
    return key === undefined || (key.addedAt === 0 && key.removedAt === undefined);
  }

  /**
   * Whether the gateways that decided on a request were in touch: the one that received it and those
   * that sent it to targets.
   */
  isInTouch(record: CallerRecord, runs: readonly RunRecord[] = []): boolean {
    const { port, sentAt, endedAt = sentAt } = record;
    return !this.seen.disturbed.some(
      (each) =>
        (each.port === port || runs.some(({ source }) => source === each.source)) &&
        each.from <= endedAt &&
        each.until >= sentAt - CONFIG_APPLY_MS,
    );
  }
}

function describe(ids: readonly string[], sentence: string): string[] {
  return ids.length === 0 ? [] : [`${ids.length} requests ${sentence}, the first is ${ids[0]}`];
}

/** Returns the lists of organisations that a target may be told; undefined if any is right. */
function getExpected(record: CallerRecord, history: KeyHistory): string[][] | undefined {
  const state = history.getState(record);
  const owner = history.getOwner(record);
  if (state === 'valid' && owner !== undefined) return [[owner]];
  if (record.isExempt !== true) return state === 'changing' && owner ? [[owner]] : undefined;
  return owner === undefined ? [[]] : [[], [owner]];
}

function checkHeaders(
  seen: OrganisationObservations,
  { callers, runs }: OrganisationTraffic,
  history: KeyHistory,
): string[] {
  const byId = new Map(callers.map((each) => [each.id, each]));
  const recorded = new Set(seen.identities.map(({ id }) => id));
  const wrong: string[] = [];
  const missing: string[] = [];
  const withKey: string[] = [];
  for (const { id, identity } of seen.identities) {
    const record = byId.get(id);
    const expected = record && getExpected(record, history);
    if (identity.apiKeys.length > 0) withKey.push(id);
    const isRight = expected?.some((names) => names.join() === identity.organisations.join());
    if (isRight === false) (identity.organisations.length === 0 ? missing : wrong).push(id);
  }
  return [
    ...describe(
      runs.filter(({ id }) => !recorded.has(id)).map(({ id }) => id),
      'ran without a record of their headers',
    ),
    ...describe(withKey, 'reached a target with an API key'),
    ...describe(missing, 'reached a target without their organisation'),
    ...describe(wrong, 'reached a target with a wrong or repeated organisation'),
  ];
}

function checkAccess({ callers, runs }: OrganisationTraffic, history: KeyHistory): string[] {
  const runsById = new Map<string, RunRecord[]>();
  for (const run of runs) runsById.set(run.id, [...(runsById.get(run.id) ?? []), run]);
  const isDecided = (record: CallerRecord): boolean =>
    history.isPermanent(record) || history.isInTouch(record, runsById.get(record.id));
  const ran = callers.filter(
    (record) =>
      runsById.has(record.id) &&
      record.isExempt !== true &&
      history.getState(record) === 'invalid' &&
      isDecided(record),
  );
  const refused = callers.filter(
    (record) =>
      record.status === UNAUTHORIZED &&
      (record.isExempt === true || history.getState(record) === 'valid') &&
      isDecided(record),
  );
  const getIds = (records: readonly CallerRecord[]): string[] => records.map(({ id }) => id);
  return [
    ...describe(getIds(ran.filter(({ apiKey }) => apiKey === undefined)), 'ran without a key'),
    ...describe(
      getIds(ran.filter((each) => each.apiKey !== undefined && history.isPermanent(each))),
      'ran with an unknown key',
    ),
    ...describe(
      getIds(ran.filter((each) => !history.isPermanent(each))),
      `ran more than ${CONFIG_APPLY_MS} ms after their key was removed`,
    ),
    ...describe(getIds(refused), 'were refused with 401 although they have access'),
  ];
}

/** Quotas hold for all gateways together, also for those that are cut off or restarted. */
function checkQuotas(
  seen: OrganisationObservations,
  { callers, runs, arrivals = [] }: OrganisationTraffic,
  history: KeyHistory,
): string[] {
  const ranAt = new Map<string, number>();
  for (const { id, at } of runs) if (!ranAt.has(id)) ranAt.set(id, at);
  // A run may wait in the target's queue; what counts is when the gateway passed the request on.
  const passedAt = new Map<string, number>();
  for (const { id, at } of arrivals) if (at <= (ranAt.get(id) ?? 0)) passedAt.set(id, at);
  const tries = callers.flatMap((record) => {
    const organisation = history.getOwner(record);
    if (organisation === undefined) return [];
    const at = ranAt.has(record.id) ? (passedAt.get(record.id) ?? ranAt.get(record.id)) : undefined;
    return [{ organisation, startedAt: record.sentAt, ranAt: at, isOverQuota: false }];
  });
  const limited = seen.organisations.flatMap(({ name, quota }) =>
    quota === undefined ? [] : [{ name, quota }],
  );
  return findWorstQuotaWindows(limited, tries, QUOTA_BOUND)
    .filter(({ got, allowed }) => got > allowed)
    .map(({ organisation, got, allowed }) => {
      const seconds = QUOTA_BOUND.windowMs / 1_000;
      return `${got} requests of ${organisation} ran within ${seconds} s, allowed are ${Math.floor(allowed)}`;
    });
}

/**
 * Checks what targets were told about callers, who had access, and the quotas of organisations.
 * @param seen - Organisations, their keys and the headers that targets received.
 * @param traffic - Observations of callers and targets.
 * @returns A message for each kind of violation; empty if there is none.
 */
export function checkOrganisations(
  seen: OrganisationObservations,
  traffic: OrganisationTraffic,
): string[] {
  const history = new KeyHistory(seen);
  return [
    ...checkHeaders(seen, traffic, history),
    ...checkAccess(traffic, history),
    ...checkQuotas(seen, traffic, history),
  ];
}
