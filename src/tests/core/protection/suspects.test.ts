import test from 'ava';

import { makeService } from '../fixtures.js';
import { CoreDriver } from '../requests/CoreDriver.js';

/** Sends the request that crashes targets; each target that gets it dies. Gives the targets lost. */
function crashAll(driver: CoreDriver): Set<string> {
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

// One request crashes each target that runs it, and its caller sends it again and again. Target
// after target would die of it, and with them the service.
test('a request that kills targets kills two, however often it is sent', (t) => {
  const driver = new CoreDriver([makeService('horaires', 6)]);
  driver.warmUp();
  let lost = 0;
  for (let i = 0; i < 20; i++) {
    driver.arrive({ fingerprint: 'crash', method: i % 2 === 0 ? 'GET' : 'POST' });
    lost += crashAll(driver).size;
    driver.advance(200);
  }
  t.is(lost, 2);
  const last = driver.arrive({ fingerprint: 'crash' });
  t.like(driver.answers.get(last), { outcome: 'not-run', code: 'crash-suspect' });
});

// A page that everybody asks for is outstanding at every crash. Refused for another request's fault
// it would leave all visitors without showtimes.
test('a request that targets answer is not suspected for long', (t) => {
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

// While a suspect runs, the target that may die of it holds nothing else.
test('a suspect runs alone', (t) => {
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
  const beside = driver
    .getOpenAttempts()
    .filter(({ sent }) => sent !== alone.sent && JSON.stringify(sent.to) === JSON.stringify(to));
  t.is(beside.length, 0);
});

// Another entry VM saw the crashes: the fleet refuses the request, not just that VM.
test('what peers tell of suspects counts here, and their exoneration too', (t) => {
  const driver = new CoreDriver([makeService('horaires', 2)]);
  const tell = (crashes: number) =>
    driver.dispatch({
      kind: 'peerMessageArrived',
      from: 'vm2#1',
      message: {
        kind: 'suspectsTold',
        suspects: [
          { service: 'horaires', fingerprint: 'x', crashes, remainingMs: 9_000, reporter: 'vm2#1' },
        ],
      },
    });
  tell(2);
  const refused = driver.arrive({ fingerprint: 'x' });
  t.like(driver.answers.get(refused), { code: 'crash-suspect', outcome: 'not-run' });
  tell(0);
  const served = driver.arrive({ fingerprint: 'x' });
  t.is(driver.getAttempts(served).length, 1);
});
