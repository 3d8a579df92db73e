import test from 'ava';

import type { Assignment, Effect } from '../../../core/index.js';
import { getAddresses } from '../../../core/index.js';
import { getServiceHolders } from '../../../core/requests/index.js';
import { makeService } from '../fixtures.js';
import { CoreDriver } from './CoreDriver.js';

const PEER = { id: 'vm4#1', zone: 'a', address: '127.0.0.1:8002', peerAddress: '127.0.0.1:9002' };

/** Creates a process and a peer, each of which holds some of the targets. */
function makeDriverWithPeer(targets = 8): CoreDriver {
  const driver = new CoreDriver([makeService('horaires', targets)]);
  driver.warmUp();
  const { assignment } = driver.state.fleet;
  const next: Assignment = { ...assignment, members: [...assignment.members, PEER] };
  (driver.state.fleet as { assignment: Assignment }).assignment = next;
  driver.state.fleet.peers.set(PEER.id, {
    ...([...driver.state.fleet.peers.values()][0] ?? {}),
    member: PEER,
    leaving: false,
  });
  return driver;
}

function fillLocalSlots(driver: CoreDriver, count: number): void {
  for (let i = 0; i < count; i++) driver.arrive();
}

function receiveSpare(driver: CoreDriver, slots: number, queued = 0): Effect[] {
  const spare = { service: 'horaires', slots, queued };
  const message = { kind: 'spare', spare } as const;
  return driver.dispatch({ kind: 'peerMessageArrived', from: PEER.id, message });
}

function isForward(effect: Effect): boolean {
  return effect.kind === 'sendAttempt' && effect.to.kind === 'peer';
}

// All slots here are taken while a peer has a free one; by the time the forward arrives there, that
// slot is taken too.
test('a request is forwarded once to a peer with a free slot, and queued here if refused', (t) => {
  const driver = makeDriverWithPeer();
  fillLocalSlots(driver, 16);
  receiveSpare(driver, 1);
  const request = driver.arrive();
  const [forward] = driver.getAttempts(request);
  t.is(forward?.sent.to.kind, 'peer');
  const attempt = forward?.sent.attempt ?? 0;
  if (forward !== undefined) forward.answered = 'refused';
  driver.dispatch({ kind: 'attemptAnswered', attempt, status: 503, ownOutcome: 'not-run' });
  driver.end(attempt);
  t.false(driver.answers.has(request));
  const [own] = driver.getOpenAttempts();
  driver.complete(own?.sent.attempt ?? 0);
  t.is(driver.getAttempts(request).at(-1)?.sent.to.kind, 'target');
});

// A forwarded request that finds no free slot must not be forwarded again: two full entry VMs would
// send it back and forth.
test('a forwarded request without a free slot is refused, and its peer is invited later', (t) => {
  const driver = makeDriverWithPeer(3);
  t.is(getServiceHolders(driver.state, 'horaires').length, 2);
  fillLocalSlots(driver, 6);
  const request = driver.arrive({ forwardedBy: PEER.id });
  t.like(driver.answers.get(request), { outcome: 'not-run', code: 'no-capacity' });
  const [own] = driver.getOpenAttempts();
  driver.answer(own?.sent.attempt ?? 0);
  const effects = driver.end(own?.sent.attempt ?? 0);
  const told = effects.find(({ kind }) => kind === 'sendPeer');
  t.like(told, { peer: PEER.id, message: { kind: 'spare', spare: { slots: 1 } } });
});

// Slots become free at a peer while requests wait here. Without an invitation the requests would
// stay in the queue although slots are idle.
test('after an invitation as many queued requests are forwarded as the peer has slots', (t) => {
  const driver = makeDriverWithPeer();
  fillLocalSlots(driver, 16);
  receiveSpare(driver, 0);
  fillLocalSlots(driver, 5);
  const effects = receiveSpare(driver, 2);
  t.is(effects.filter(isForward).length, 2);
  t.true(effects.some(({ kind }) => kind === 'sendPeer'));
});

// Callers keep address answers for a while. An answer that names an entry VM about to leave, or one
// in a zone that is out, would make their requests fail all that time.
test('addresses contain holders first and no entry VM that is leaving', (t) => {
  const driver = makeDriverWithPeer();
  const ask = () => getAddresses(driver.state, { service: 'horaires' }, () => 0.5)?.addresses ?? [];
  t.is(getServiceHolders(driver.state, 'horaires').length, 2);
  t.is(ask().length, 2);
  const peer = driver.state.fleet.peers.get(PEER.id);
  if (peer !== undefined) peer.leaving = true;
  t.deepEqual(ask(), ['127.0.0.1:8001']);
});
