import test from 'ava';

import { createEntryState, reduce } from '../../core/index.js';
import { makeSoleMember, makeConfiguration, makeCoreSettings, makeService } from './fixtures.js';

test('a request is sent to a target and its answer is relayed to the caller', (t) => {
  const state = createEntryState(makeCoreSettings(), 0);
  makeSoleMember(state);
  const context = { now: 1, random: () => 0.5 };
  reduce(
    state,
    { kind: 'configurationPushed', ...makeConfiguration(1, [makeService('horaires', 1)]) },
    context,
  );
  const [sent] = reduce(
    state,
    {
      kind: 'requestArrived',
      request: 7,
      service: 'horaires',
      caller: 'door',
      method: 'GET',
      fingerprint: 'f',
    },
    context,
  );
  t.is(sent?.kind, 'sendAttempt');
  if (sent?.kind !== 'sendAttempt') return;
  const relayed = reduce(
    state,
    { kind: 'attemptAnswered', attempt: sent.attempt, status: 200 },
    context,
  );
  t.deepEqual(relayed, [{ kind: 'relayAnswer', request: 7, attempt: sent.attempt }]);
  const ended = reduce(
    state,
    { kind: 'attemptEnded', attempt: sent.attempt, end: 'complete', bodyReplayable: true },
    context,
  );
  t.deepEqual(ended, []);
});
