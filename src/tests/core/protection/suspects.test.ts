import test from 'ava';

import type { SuspectReport } from '../../../crashes/index.js';
import { makeService } from '../fixtures.js';
import { CoreDriver } from '../requests/CoreDriver.js';

/** Crashes each target that gets an attempt; returns the crashed targets with their attempts. */
function crashTargets(driver: CoreDriver): Set<string> {
  const lost = new Set<string>();
  for (let step = 0; step < 6; step++) {
    for (const { sent } of driver.getOpenAttempts()) {
      if (sent.to.kind !== 'target') continue;
      lost.add(`${sent.to.target} ${sent.attempt}`);
      driver.end(sent.attempt, 'reset');
    }
    driver.advance(10);
  }
  return lost;
}

// A request crashes each target that runs it, and its caller keeps repeating it. Without protection
// it would crash one target after another until the service is down.
test('a request that crashes its targets crashes two, however often it is sent', (t) => {
  const driver = new CoreDriver([makeService('horaires', 6)]);
  driver.warmUp();
  let lost = 0;
  for (let i = 0; i < 20; i++) {
    driver.arrive({ fingerprint: 'crash', method: i % 2 === 0 ? 'GET' : 'POST' });
    lost += crashTargets(driver).size;
    driver.advance(200);
  }
  t.is(lost, 2);
  const last = driver.arrive({ fingerprint: 'crash' });
  t.like(driver.answers.get(last), { outcome: 'not-run', code: 'crash-suspect' });
});

// A frequently requested page is by chance outstanding at most crashes. If it were refused because
// of another request, no caller would get it.
test('a request is no longer suspected once a target answers it', (t) => {
  const driver = new CoreDriver([makeService('horaires', 3)]);
  driver.warmUp();
  const first = driver.arrive({ fingerprint: 'rare page' });
  driver.end(driver.getOpenAttempts()[0].sent.attempt, 'reset');
  driver.advance(10);
  t.is(driver.getAttempts(first).length, 2);
  for (const { sent } of driver.getOpenAttempts()) driver.complete(sent.attempt);
  const next = driver.arrive({ fingerprint: 'rare page' });
  t.is(driver.getAttempts(next).length, 1);
});

// A target that runs a suspect may crash, so it must have no other request outstanding.
test('a suspect runs alone on its target', (t) => {
  const driver = new CoreDriver([makeService('horaires', 2)]);
  driver.warmUp();
  driver.arrive({ fingerprint: 'crash' });
  driver.end(driver.getOpenAttempts()[0].sent.attempt, 'reset');
  driver.advance(10);
  const [alone] = driver.getOpenAttempts();
  t.truthy(alone);
  for (let i = 0; i < 8; i++) driver.arrive();
  driver.advance(100);
  const { to } = alone.sent;
  const concurrent = driver
    .getOpenAttempts()
    .filter(({ sent }) => sent !== alone.sent && JSON.stringify(sent.to) === JSON.stringify(to));
  t.is(concurrent.length, 0);
});

// Another entry VM observed the crashes: the whole fleet has to refuse the request, not only it.
test('a suspect that a peer reports is refused, until the peer reports it as answered', (t) => {
  const driver = new CoreDriver([makeService('horaires', 2)]);
  const report = (suspect: Omit<SuspectReport, 'fingerprint'>) =>
    driver.dispatch({
      kind: 'peerMessageArrived',
      from: 'vm2#1',
      message: {
        kind: 'suspectsTold',
        suspects: [{ fingerprint: 'horaires x', ...suspect }],
      },
    });
  const crashes = ['a', 'b'].map((target) => ({ target, bornAt: 1, ageMs: 10 }));
  report({ crashes, answeredAgeMs: undefined });
  const refused = driver.arrive({ fingerprint: 'x' });
  t.like(driver.answers.get(refused), { code: 'crash-suspect', outcome: 'not-run' });
  report({ crashes: [], answeredAgeMs: 0 });
  const served = driver.arrive({ fingerprint: 'x' });
  t.is(driver.getAttempts(served).length, 1);
});
