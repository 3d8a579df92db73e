import type { AnswerCounts } from './model.js';

/** Part of the exposure that operators allow which a trial uses: VMs learn late that it is over. */
const SHARE_USED = 0.7;
const SLACK_USED = 0.6;

/** Largest share of a trial, for services with few requests. */
const MOST_TRIAL_SHARE = 0.3;

/** Largest share of one route's requests that a trial takes, however rare they are. */
const MOST_ROUTE_SHARE = 0.8;

/** A trial that has used up so much of the exposure that operators allow gets no more requests. */
const EXPOSURE_USED_UP = 0.8;

/** What operators allow a version that turns out to be bad. */
export interface ExposureBound {
  /** Share of a service's requests from the order to its limit. */
  readonly share: number;
  /** Requests on top. */
  readonly slack: number;
}

/**
 * Share of a service's requests that a trial takes, so that what a bad version gets stays within its bound.
 * @param bound - What operators allow.
 * @param totals - Answers of old and of new targets so far.
 * @param ageMs - Time since the order, in milliseconds.
 * @param durationMs - Time from the order to its limit, in milliseconds.
 * @example
 * getTrialShare({ share: 0.1, slack: 50 }, totals, 3_000, 12_000);
 */
export function getTrialShare(
  { share, slack }: ExposureBound,
  { old, new: fresh }: { readonly old: AnswerCounts; readonly new: AnswerCounts },
  ageMs: number,
  durationMs: number,
): number {
  const requests = old.answers + fresh.answers;
  if (fresh.answers > EXPOSURE_USED_UP * (share * requests + slack)) return 0;
  const expected = Math.max(requests, (requests * durationMs) / Math.max(1, ageMs));
  const bySlack = requests === 0 ? 0 : (SLACK_USED * slack) / expected;
  return Math.min(MOST_TRIAL_SHARE, SHARE_USED * share + bySlack);
}

/**
 * Shares of each route's requests. Each route has as many tried as any other, if it has so many: a
 * version may fail on a single one, and a rare one.
 * @param share - Share of the service's requests.
 * @param parts - Part of the service's requests that each route has.
 * @example
 * getRouteShares(0.08, new Map([['lookup', 0.9], ['sale', 0.1]])).sale; // 0.4
 */
export function getRouteShares(
  share: number,
  parts: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const even = share / Math.max(1, parts.size);
  return Object.fromEntries(
    [...parts].map(([route, part]) => [route, Math.min(MOST_ROUTE_SHARE, even / part)]),
  );
}
