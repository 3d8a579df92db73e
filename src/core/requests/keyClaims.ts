import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { EventOf } from '../Handler.js';
import type { KeyClaimResult, StoredAnswer } from '../model/index.js';
import { getRetryAfterMs } from './capacity.js';
import { dispatch } from './dispatch.js';
import { closeRequest, reject } from './finish.js';
import { makeOwnAnswer } from './ownAnswers.js';
import type { RequestRecord } from './RequestsState.js';

/** Retry delay while an earlier request with the same key is running, in milliseconds. */
const IN_PROGRESS_RETRY_MS = 500;

type ClaimHandler = (
  state: EntryState,
  record: RequestRecord,
  result: KeyClaimResult,
  context: Context,
) => Effect[];

/** Answers a request that ran before with its stored answer, or says that none was kept. */
function replayStoredAnswer(
  state: EntryState,
  record: RequestRecord,
  answer: StoredAnswer,
): Effect[] {
  const request = record.id;
  if (answer.body !== undefined) {
    return [{ kind: 'replayAnswer', request, answer }, ...closeRequest(state, record)];
  }
  const problem = makeOwnAnswer('answer-not-kept', 'unknown');
  return [{ kind: 'answerRequest', request, answer: problem }, ...closeRequest(state, record)];
}

const CLAIM_HANDLERS: Readonly<Record<KeyClaimResult['kind'], ClaimHandler>> = {
  claimed: (state, record, _result, context) => {
    record.hasClaimedKey = true;
    return dispatch(state, record, context);
  },
  // The earlier request may have run, and a caller would take `not-run` to cover both.
  inProgress: (state, record) => {
    const answer = makeOwnAnswer('key-in-progress', 'unknown', IN_PROGRESS_RETRY_MS);
    const request = record.id;
    return [{ kind: 'answerRequest', request, answer }, ...closeRequest(state, record)];
  },
  mismatch: (state, record) => reject(state, record, 'key-mismatch'),
  completed: (state, record, result) =>
    result.kind === 'completed' ? replayStoredAnswer(state, record, result.answer) : [],
  refused: (state, record, _result, context) => {
    const retryAfterMs = getRetryAfterMs(state, record.service.name, context.now, context.random());
    return reject(state, record, 'key-store-unavailable', retryAfterMs);
  },
};

/** Handles the result of a key claim: dispatches the request, or answers it without sending it. */
export function handleClaimResolved(
  state: EntryState,
  event: EventOf<'keyClaimResolved'>,
  context: Context,
): Effect[] {
  state.requests.lastEventAt = context.now;
  const { request, result } = event;
  const record = state.requests.requests.get(request);
  if (record === undefined) {
    // The request was closed meanwhile and never sent, so the key is released for another request.
    if (result.kind !== 'claimed') return [];
    return [{ kind: 'raise', event: { kind: 'keyedRequestEnded', request, end: 'notRun' } }];
  }
  if (record.stage !== 'claiming') return [];
  return CLAIM_HANDLERS[result.kind](state, record, result, context);
}
