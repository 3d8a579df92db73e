import test from 'ava';
import fc from 'fast-check';

import { readCrashMessage, writeCrashMessage } from '../../fleet/crashMessages.js';
import { readLimitMessage, writeLimitMessage } from '../../fleet/limitMessages.js';
import { readOutcomeMessage, writeOutcomeMessage } from '../../fleet/outcomeMessages.js';
import { readQuotaMessage, writeQuotaMessage } from '../../fleet/quotaMessages.js';
import { readRolloutMessage, writeRolloutMessage } from '../../fleet/rolloutMessages.js';
import { isSound, makeOdd } from '../platform/oddValues.js';

const RUN = { target: 't', bornAt: 1 };
const REPORTS = [{ ...RUN, perSecond: 2, ageMs: 3 }];
const SHARES = { phase: 'trial', share: 0.5 } as const;

/** Sound datagrams, and the decoder of each. */
const MESSAGES: readonly (readonly [string, (text: string) => unknown])[] = [
  [
    writeCrashMessage({
      suspects: [{ fingerprint: 'f', crashes: [{ ...RUN, ageMs: 2 }], answeredAgeMs: 5 }],
      alive: [{ ...RUN, ageMs: 2 }],
    }),
    readCrashMessage,
  ],
  [writeLimitMessage({ kind: 'limitNews', reports: REPORTS }), readLimitMessage],
  [writeLimitMessage({ kind: 'permitAsk', reports: REPORTS, ask: 1, ...RUN }), readLimitMessage],
  [writeLimitMessage({ kind: 'permitReturn', ...RUN }), readLimitMessage],
  [
    writeLimitMessage({
      kind: 'permitAnswer',
      reports: REPORTS,
      ask: 1,
      ...RUN,
      isGranted: true,
      waitMs: 5,
    }),
    readLimitMessage,
  ],
  [writeOutcomeMessage([{ ...RUN, counts: { successes: 1, failures: 2 } }]), readOutcomeMessage],
  [writeQuotaMessage({ kind: 'ask', organisation: 'o', ask: 1 }), readQuotaMessage],
  [
    writeQuotaMessage({ kind: 'answer', organisation: 'o', ask: 1, isGranted: true, waitMs: 5 }),
    readQuotaMessage,
  ],
  [
    writeRolloutMessage({
      kind: 'guidance',
      order: 'o',
      ageMs: 1,
      ...SHARES,
      routeShares: { r: 1 },
    }),
    readRolloutMessage,
  ],
  [
    writeRolloutMessage({
      kind: 'report',
      order: 'o',
      vm: 'v',
      run: 'r',
      sequence: 1,
      ageMs: 2,
      phase: 'trial',
      oldRequests: 3,
      counts: { 'old r': { answers: 5, bad: 1 } },
    }),
    readRolloutMessage,
  ],
];

function write(value: unknown): string {
  try {
    return JSON.stringify(value) ?? '';
  } catch {
    // What is nested too deeply to be written.
    return `${'['.repeat(10_000)}${']'.repeat(10_000)}`;
  }
}

for (const [text, read] of MESSAGES) {
  const start = text.search(/[[{]/);
  // Guards against figures of another VM that are no numbers, and against errors nobody expects.
  test(`an odd form of ${text} is read as a sound message or rejected`, (t) => {
    t.notThrows(() => read(text));
    fc.assert(
      fc.property(makeOdd(JSON.parse(text.slice(start))), (value) => {
        // Numbers beyond the range of a double are valid JSON, and read as infinite.
        const sent = write(value).replaceAll('9007199254740992', '1e400');
        try {
          return isSound(read(text.slice(0, start) + sent));
        } catch (err) {
          return ['TypeError', 'SyntaxError'].includes((err as Error).name);
        }
      }),
      { seed: 71, numRuns: 300 },
    );
    t.pass();
  });
}
