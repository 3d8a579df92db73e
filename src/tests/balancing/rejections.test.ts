import test from 'ava';

import { LAB_PLANS, playLab } from '../../lab/index.js';
import { makeReading, makeTarget, Scene } from './scene.js';

const TARGETS = [makeTarget('t-1'), makeTarget('t-2'), makeTarget('t-3')];
const SLOTS = 2;
const ALLOWED_MS = 4_000;

/** Lets two targets reject a request, each while it runs a number of requests. */
function rejectTwice(running: number): Scene {
  const scene = new Scene(TARGETS);
  scene.arrive('/horaires/today', ALLOWED_MS);
  for (let sent = 0; sent < 2; sent++) {
    scene.answerProbes();
    const reading = makeReading(scene.now, running);
    scene.end({ kind: 'rejected', reading });
  }
  return scene;
}

test('a caller rejected by targets with free slots may retry at once', (t) => {
  // Targets reject a random share of their requests although they have free slots. A caller that is
  // told to retry after a fifth of its time is certain to be late.
  const [answer] = rejectTwice(0).all('answer');
  t.is(answer.status, 503);
  t.is(answer.reason, 'rejectedWithRoom');
  t.true((answer.retryAfterMs ?? Infinity) <= 30);
});

test('a caller rejected by full targets is told to retry later', (t) => {
  // An immediate retry would only be rejected again, and take the place of other requests.
  const [answer] = rejectTwice(SLOTS).all('answer');
  t.is(answer.reason, 'rejected');
  t.true((answer.retryAfterMs ?? 0) >= ALLOWED_MS / 5 - 1);
});

test('most callers still get their answers in time while targets reject more than half of the requests', (t) => {
  // Each caller tries three times, and each try fails with probability 0.55, so that 1 - 0.55³ =
  // 0.83 of the callers can be served if they retry in time. The payoff is 0.74 if they retry late
  // and 0.89 if they retry in time (virtual time, five seeds).
  const plan = LAB_PLANS.rejecting;
  const [{ fromMs, untilMs, share }] = plan.rejecting;
  const during = [7, 14, 21, 28, 35]
    .flatMap((seed) => playLab(plan, seed).records)
    .filter(({ askedAt }) => askedAt >= fromMs && askedAt < untilMs);
  const inTime = during.filter(
    ({ route, askedAt, answeredAt = Infinity }) => answeredAt - askedAt <= route.objectiveMs,
  );
  t.true(inTime.length / during.length >= 1 - share ** (1 + plan.routes[0].retries));
});
