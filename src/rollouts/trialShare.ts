import type { AnswerCounts } from './model.js';

/**
 * Fractions of the allowed exposure that a trial is planned to use. The rest is a reserve, because
 * VMs learn with a delay that a trial has ended.
 */
const BOUND_SHARE_USED = 0.7;
const BOUND_SLACK_USED = 0.6;

/** Largest share of requests that a trial takes, for services with few requests. */
const MAX_TRIAL_SHARE = 0.3;

/** Largest share of one route's requests that a trial takes, for rarely used routes. */
const MAX_ROUTE_SHARE = 0.8;

/** A trial that has used up this fraction of the allowed exposure gets no more requests. */
const MAX_EXPOSURE_USED = 0.8;

/** Exposure that operators allow to a version that turns out to be bad. */
export interface ExposureBound {
  /** Share of a service's requests between the order and its deadline. */
  readonly share: number;
  /** Number of requests allowed in addition. */
  readonly slack: number;
}

/**
 * Share of a service's requests that a trial takes, so that a bad version stays within its bound.
 * @param bound - Exposure that operators allow.
 * @param totals - Answers of old and of new targets so far.
 * @param ageMs - Time since the order, in milliseconds.
 * @param durationMs - Time from the order to its deadline, in milliseconds.
 * @example
 * getTrialShare({ share: 0.1, slack: 50 }, totals, 3_000, 12_000);
 */
export function getTrialShare(
  { share, slack }: ExposureBound,
  { old, new: newCounts }: { readonly old: AnswerCounts; readonly new: AnswerCounts },
  ageMs: number,
  durationMs: number,
): number {
  const requests = old.answers + newCounts.answers;
  if (newCounts.answers > MAX_EXPOSURE_USED * (share * requests + slack)) return 0;
  const expectedRequests = Math.max(requests, (requests * durationMs) / Math.max(1, ageMs));
  const slackShare = requests === 0 ? 0 : (BOUND_SLACK_USED * slack) / expectedRequests;
  return Math.min(MAX_TRIAL_SHARE, BOUND_SHARE_USED * share + slackShare);
}

/**
 * Share of each route's requests that a trial takes. Every route gets the same number of trial
 * requests, as far as it has that many: a version may fail on a single, rarely used route.
 * @param share - Share of the service's requests.
 * @param trafficShares - Share of the service's requests that each route has.
 * @example
 * getRouteShares(0.08, new Map([['lookup', 0.9], ['sale', 0.1]])).sale; // 0.4
 */
export function getRouteShares(
  share: number,
  trafficShares: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const evenShare = share / Math.max(1, trafficShares.size);
  return Object.fromEntries(
    [...trafficShares].map(([route, trafficShare]) => [
      route,
      Math.min(MAX_ROUTE_SHARE, evenShare / trafficShare),
    ]),
  );
}
