import { getService } from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { RequestArrived } from '../events.js';
import type { EventOf, MessageHandler } from '../Handler.js';
import type { KeyClaimResult } from '../model/index.js';
import { sendToHome } from './sendToHome.js';
import type { LocalClaim, UnacknowledgedEnd } from './KeysState.js';

/** How long a claim may take before its request is refused, in milliseconds. */
const CLAIM_TIMEOUT_MS = 1_500;

/**
 * Delay before an unanswered claim is sent again, in milliseconds, since a message may be lost. It
 * doubles with each retry: on a busy machine the answer is only late, and more messages would delay
 * it further.
 */
const CLAIM_RETRY_MS = 300;

/**
 * Delay before an unacknowledged end is reported again, in milliseconds. It doubles with each
 * retry.
 */
const END_RETRY_MS = 1_000;
/** Longest delay between two reports of the same end, in milliseconds. */
const MAX_END_RETRY_MS = 20_000;

/**
 * Unacknowledged ends, and abandoned claims, that are kept. Beyond that the oldest is dropped, and
 * its key may stay in progress.
 */
const MAX_ENDS = 2_000;

/** Retention of keys of a service that is not in the configuration, in milliseconds. */
const DEFAULT_RETENTION_MS = 3_600_000;

function resolveClaim(request: number, result: KeyClaimResult): Effect[] {
  return [{ kind: 'raise', event: { kind: 'keyClaimResolved', request, result } }];
}

function sendClaim(state: EntryState, localClaim: LocalClaim, context: Context): Effect[] {
  const { claim, fingerprint, key, retentionMs, service } = localClaim;
  localClaim.lastSentAt = context.now;
  localClaim.sendCount += 1;
  const message = { claim, fingerprint, key, kind: 'keyClaimAsked', retentionMs, service } as const;
  return sendToHome(state, message, context);
}

/**
 * Claims a request's key at its home. The request may be sent once the claim succeeds; the result
 * is raised as a `keyClaimResolved` event.
 * @param state - The process's state.
 * @param request - A request with a key, at the entry VM that the caller connected to.
 * @param context - Current time and random source.
 * @example
 * const effects = claimKey(state, event, context);
 */
export function claimKey(state: EntryState, request: RequestArrived, context: Context): Effect[] {
  const { keys } = state;
  const { fingerprint, key, service } = request;
  if (key === undefined) return resolveClaim(request.request, { kind: 'claimed' });
  const limit = context.now + CLAIM_TIMEOUT_MS;
  const claim: LocalClaim = {
    claim: keys.nextClaimId,
    request: request.request,
    service,
    key,
    fingerprint,
    retentionMs: getService(state, service)?.repeat.keyRetentionMs ?? DEFAULT_RETENTION_MS,
    lastSentAt: context.now,
    sendCount: 0,
    deadlineAt: Math.min(limit, request.deadlineAt ?? limit),
  };
  keys.nextClaimId += 1;
  keys.claims.set(claim.claim, claim);
  return sendClaim(state, claim, context);
}

/** Reports the end of a claimed request to the home, and again until the home acknowledges it. */
function reportEnd(
  state: EntryState,
  localClaim: Pick<UnacknowledgedEnd, 'claim' | 'service' | 'key' | 'fingerprint'>,
  end: UnacknowledgedEnd['end'],
  context: Context,
): Effect[] {
  const { ends } = state.keys;
  const { claim, fingerprint, key, service } = localClaim;
  const nextSendAt = context.now + END_RETRY_MS;
  ends.set(claim, { claim, service, key, fingerprint, end, sendCount: 1, nextSendAt });
  const [oldest] = ends.keys();
  if (ends.size > MAX_ENDS && oldest !== undefined) ends.delete(oldest);
  return sendToHome(state, { claim, end, fingerprint, key, kind: 'keyEnded', service }, context);
}

/**
 * Abandons a claim: its request is refused and never runs. A write whose answer was lost may have
 * recorded the key even so, and the key would then stay in progress until it expires. The home is
 * therefore told to release it.
 */
function abandonClaim(state: EntryState, localClaim: LocalClaim, context: Context): Effect[] {
  const { claims, abandonedClaims } = state.keys;
  claims.delete(localClaim.claim);
  abandonedClaims.set(localClaim.claim, localClaim);
  const [oldest] = abandonedClaims.keys();
  if (abandonedClaims.size > MAX_ENDS && oldest !== undefined) abandonedClaims.delete(oldest);
  return [
    ...resolveClaim(localClaim.request, { kind: 'refused' }),
    ...reportEnd(state, localClaim, 'notRun', context),
  ];
}

/** Resolves a claim with the result that the key's home sent. */
export const handleClaimAnswered: MessageHandler<'keyClaimAnswered'> = (
  state,
  _from,
  { claim, result },
  context,
) => {
  const { claims, ends, abandonedClaims, running } = state.keys;
  const localClaim = claims.get(claim);
  if (localClaim === undefined) {
    // A home that was paused recorded the claim after it was abandoned and its key was released.
    // The key has to be released again.
    const abandoned = abandonedClaims.get(claim);
    const isRecorded = result.kind === 'claimed' && abandoned !== undefined && !ends.has(claim);
    return isRecorded ? reportEnd(state, abandoned, 'notRun', context) : [];
  }
  if (result.kind === 'refused') return abandonClaim(state, localClaim, context);
  claims.delete(claim);
  if (result.kind === 'claimed') running.set(localClaim.request, localClaim);
  return resolveClaim(localClaim.request, result);
};

/**
 * Reports the end of a claimed request to the home. An unknown outcome is not reported: the key
 * stays in progress, so that the request never runs twice.
 */
export function handleRequestEnded(
  state: EntryState,
  event: EventOf<'keyedRequestEnded'>,
  context: Context,
): Effect[] {
  const { running } = state.keys;
  const localClaim = running.get(event.request);
  if (localClaim === undefined) return [];
  running.delete(event.request);
  return event.end === 'unknown' ? [] : reportEnd(state, localClaim, event.end, context);
}

/** Stops reporting an end that the home has acknowledged. */
export const handleEndAcknowledged: MessageHandler<'keyEndHeard'> = (state, _from, { claim }) => {
  state.keys.ends.delete(claim);
  return [];
};

function isRetryDue({ lastSentAt, sendCount }: LocalClaim, now: number): boolean {
  return now - lastSentAt >= CLAIM_RETRY_MS * 2 ** (sendCount - 1);
}

/** Resends unanswered claims and unacknowledged ends, and abandons claims that have timed out. */
export function retryUnanswered(state: EntryState, context: Context): Effect[] {
  const { claims, ends } = state.keys;
  const effects: Effect[] = [];
  for (const claim of claims.values()) {
    if (context.now >= claim.deadlineAt) effects.push(...abandonClaim(state, claim, context));
    else if (isRetryDue(claim, context.now)) effects.push(...sendClaim(state, claim, context));
  }
  for (const unacknowledged of ends.values()) {
    if (context.now < unacknowledged.nextSendAt) continue;
    unacknowledged.sendCount += 1;
    unacknowledged.nextSendAt =
      context.now + Math.min(MAX_END_RETRY_MS, END_RETRY_MS * 2 ** (unacknowledged.sendCount - 1));
    const { claim, end, fingerprint, key, service } = unacknowledged;
    const message = { claim, end, fingerprint, key, kind: 'keyEnded', service } as const;
    effects.push(...sendToHome(state, message, context));
  }
  return effects;
}
