import type { CorePart } from '../Handler.js';
import { mergeSuspects, maintainSuspects } from './suspects.js';

/** Retry and hedge budgets, and protection from requests that crash targets. */
export const protectionPart: CorePart = {
  handlers: {},
  messages: {
    suspectsTold: (state, _from, message, context) => {
      mergeSuspects(state, message.suspects, context.now);
      return [];
    },
  },
  jobs: { suspects: (state, context) => maintainSuspects(state, context.now) },
};
