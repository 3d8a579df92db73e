import type { IncomingHttpHeaders } from 'node:http';

import type { ForwardTerms } from '../balancing/index.js';

/** Terms of a request that an entry VM passes on to another one. */
export const FORWARD_HEADER = 'masticlink-forward';

/** Why a VM answered a request itself that was passed on to it. */
export const REASON_HEADER = 'masticlink-reason';

const TERMS_PATTERN = /^targets=(\d{1,4}); since=(\d{1,7}); service=(\S+)$/;

/**
 * Encodes the terms of a request that is passed on.
 * @param terms - The terms.
 */
export function writeForwardTerms({ maxTargets, sinceFirstMs, service }: ForwardTerms): string {
  return `targets=${maxTargets}; since=${sinceFirstMs}; service=${service}`;
}

/**
 * Reads the terms of a request that was passed on.
 * @param headers - Headers of the request.
 * @returns Undefined if the request was not passed on, or its terms are unreadable.
 * @example
 * readForwardTerms({ 'masticlink-forward': 'targets=2; since=0; service=horaires' })?.maxTargets; // 2
 */
export function readForwardTerms(headers: IncomingHttpHeaders): ForwardTerms | undefined {
  const value = headers[FORWARD_HEADER];
  const match = typeof value === 'string' ? TERMS_PATTERN.exec(value) : null;
  if (match === null) return undefined;
  const [, maxTargets, sinceFirstMs, service] = match;
  return {
    maxTargets: Math.max(1, Number(maxTargets)),
    sinceFirstMs: Number(sinceFirstMs),
    service,
  };
}
