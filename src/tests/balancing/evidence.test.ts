import test from 'ava';

import { addEvidence, getEvidenceFields, getEvidenceKinds } from '../../balancing/evidence.js';
import type { AttemptResult, BalancerEffect, SendingFacts } from '../../balancing/index.js';
import { makeTarget, ROUTE, Scene } from './scene.js';

const ONCE = { ...ROUTE, isIdempotent: false };
const TARGETS = [makeTarget('t-1'), makeTarget('t-2', { bornAt: 5 }), makeTarget('t-3')];
const REJECTION: SendingFacts = {
  status: 503,
  named: 'this',
  connection: { isKept: true, requests: 3, probes: 2, ageMs: 812, sentBytes: 431 },
};

function endAttempt(scene: Scene, end: AttemptResult, facts?: SendingFacts): BalancerEffect[] {
  return scene.dispatch({ kind: 'attemptEnded', attempt: scene.lastSent.attempt, end, facts });
}

function getRefusal(scene: Scene): Extract<BalancerEffect, { kind: 'log' }> | undefined {
  return scene.all('log').find(({ event }) => event === 'request.refused');
}

// Without it, a request that was refused and ran can't be traced to the statement that was believed.
test('the line of a refused request names the evidence of each attempt', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  scene.arrive();
  scene.answerProbes((id) => (id === 't-2' ? 0 : 1));
  endAttempt(scene, { kind: 'rejected' }, REJECTION);
  scene.answerProbes();
  const { attempt, to } = scene.lastSent;
  t.is(attempt, 2);
  scene.now += 7;
  endAttempt(scene, { kind: 'rejected' }, { status: 429, named: 'this' });
  const refusal = getRefusal(scene);
  t.deepEqual(refusal?.fields.evidence, [
    'attempt=1 target=t-2 bornAt=5 end=rejected status=503 named=this tookMs=0 connection=kept requests=3 probes=2 ageMs=812 sentBytes=431',
    `attempt=2 target=${to.target} bornAt=1 end=rejected status=429 named=this tookMs=7 connection=none`,
  ]);
  t.deepEqual(refusal?.evidence, ['rejected']);
});

test('the line of a request that was never sent has no evidence', (t) => {
  const scene = new Scene([]);
  scene.arrive();
  const refusal = getRefusal(scene);
  t.truthy(refusal);
  t.false('evidence' in (refusal?.fields ?? {}));
  t.is(refusal?.evidence, undefined);
});

// Sendings that find no connection are not limited in number; a line must not grow with each.
test('the evidence of a request is limited to its latest attempts', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  scene.arrive();
  const [pending] = scene.state.pendingRequests.values();
  for (let attempt = 1; attempt <= 7; attempt += 1) {
    addEvidence(pending, { kind: 'unsent', attempt, target: 't-1', bornAt: 1, tookMs: 250 });
  }
  addEvidence(pending, { kind: 'rejected', attempt: 8, target: 't-2', bornAt: 5, tookMs: 3 });
  const { evidence, evidenceLeftOut } = getEvidenceFields(pending);
  t.deepEqual(
    (evidence as readonly string[]).map((text) => text.split(' ')[0]),
    ['attempt=4', 'attempt=5', 'attempt=6', 'attempt=7', 'attempt=8'],
  );
  t.is(evidenceLeftOut, 3);
  t.deepEqual(getEvidenceKinds(pending), ['unsent', 'rejected']);
});

test('the line of a refused request names the VM that refused it', (t) => {
  const scene = new Scene([makeTarget('t-1'), makeTarget('t-2')], [ONCE]);
  scene.dispatch({ kind: 'vmsChanged', vms: ['vm-1', 'vm-2'] });
  scene.arrive();
  const [pending] = scene.state.pendingRequests.values();
  pending.forward = { id: 9, vm: 'vm-2', sentAt: scene.now };
  scene.state.forwards.set(9, pending);
  scene.now += 12;
  const end = { kind: 'refused', reason: 'overloaded' } as const;
  scene.dispatch({ kind: 'forwardEnded', attempt: 9, end, facts: REJECTION });
  t.deepEqual(getRefusal(scene)?.fields.evidence, [
    'attempt=9 via=vm-2 end=refusedByVm reason=overloaded status=503 named=this tookMs=12 connection=kept requests=3 probes=2 ageMs=812 sentBytes=431',
  ]);
});

// An id is chosen by whoever sent the answer.
test('the id of another request is cut to a limited length', (t) => {
  const scene = new Scene(TARGETS, [ONCE]);
  scene.arrive();
  scene.answerProbes();
  const otherId = 'x'.repeat(5_000);
  endAttempt(scene, { kind: 'spoilt' }, { check: 'otherId', named: 'other', otherId });
  const line = scene.all('log').find(({ event }) => event === 'attempt.failed');
  t.is(String(line?.fields.otherId).length, 64);
  t.is(line?.fields.check, 'otherId');
});
