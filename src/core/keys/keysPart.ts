import type { CorePart } from '../Handler.js';
import {
  retryUnanswered,
  handleClaimAnswered,
  handleEndAcknowledged,
  handleRequestEnded,
} from './claimKey.js';
import { commitKeys, handleKeyWritten } from './commit.js';
import { DROP_TAG, handleDroppedSegmentRead } from './dropSegments.js';
import { handleClaimAsked, handleKeyEnded } from './home.js';
import { handleKeyRead } from './load.js';

/** At-most-once execution: records a request's key before the request is sent. */
export const keysPart: CorePart = {
  handlers: {
    keyedRequestEnded: handleRequestEnded,
    storeResolved: (state, event, context) => {
      if (event.tag === DROP_TAG) return handleDroppedSegmentRead(state, event, context);
      if (event.purpose === 'keyRead') return handleKeyRead(state, event, context);
      if (event.purpose === 'keyWrite') return handleKeyWritten(state, event, context);
      return [];
    },
  },
  messages: {
    keyClaimAnswered: handleClaimAnswered,
    keyClaimAsked: handleClaimAsked,
    keyEndHeard: handleEndAcknowledged,
    keyEnded: handleKeyEnded,
  },
  jobs: {
    keyCommit: (state, context) => [
      ...retryUnanswered(state, context),
      ...commitKeys(state, context),
    ],
  },
};
