import test from 'ava';
import fc from 'fast-check';

import type { EvidenceCounts, RolloutPhase, RolloutReport } from '../../rollouts/index.js';
import { RolloutCoordinator } from '../../rollouts/index.js';

const BOUND = { share: 0.1, slack: 50 };
const DURATION_MS = 12_000;
const STEP_MS = 100;

const ORDER = {
  id: 'horaires@1/v2',
  name: 'horaires',
  service: 'horaires',
  version: 'v2',
  durationMs: DURATION_MS,
  revision: 1,
  state: undefined,
};

interface VmModel {
  phase: RolloutPhase;
  oldRequests: number;
  readonly counts: Record<string, { answers: number; bad: number }>;
}

/** A coordinator and one VM that reports to it every 100 ms. */
class CoordinatorScene {
  now = 0;

  coordinator = new RolloutCoordinator(ORDER, BOUND, 0);

  readonly phases: RolloutPhase[] = [];

  readonly vm: VmModel = { phase: 'trial', oldRequests: 0, counts: {} };

  private sequence = 0;

  private steps = 0;

  report(changes: Partial<RolloutReport> = {}): void {
    this.sequence += 1;
    const counts: EvidenceCounts = structuredClone(this.vm.counts);
    const { phase, oldRequests } = this.vm;
    const report = { order: ORDER.id, vm: 'vm-1', run: 'a', sequence: this.sequence };
    this.coordinator.take(
      { ...report, ageMs: this.now, phase, oldRequests, counts, ...changes },
      this.now,
    );
    const guidance = this.coordinator.decide(this.now, 1);
    if (guidance === undefined) return;
    this.vm.phase = guidance.phase;
    if (this.phases.at(-1) !== guidance.phase) this.phases.push(guidance.phase);
  }

  answer(group: string, answers: number, bad: number, route = 'lookup'): void {
    const key = `${group} ${route}`;
    const known = this.vm.counts[key] ?? { answers: 0, bad: 0 };
    this.vm.counts[key] = { answers: known.answers + answers, bad: known.bad + bad };
  }

  /** Lets time pass; in each step old and new targets answer so many, so many of them badly. */
  pass(ms: number, fresh: { answers: number; bad: number } = { answers: 2, bad: 0 }): void {
    const endsAt = this.now + ms;
    while (this.now < endsAt) {
      this.now += STEP_MS;
      this.steps += 1;
      this.answer('old', 20, 1);
      this.answer(`new${this.steps % 3}`, fresh.answers, fresh.bad);
      this.report();
    }
  }
}

test('a good version is tried, moved to in steps and completed within its time', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(DURATION_MS - 1_000);
  t.deepEqual(scene.phases, ['trial', 'moving', 'moved']);
  t.is(scene.coordinator.getDueState(scene.now), 'completed');
});

test('a version is not moved to before its trial has had its time', (t) => {
  // A version that turns bad late has done little harm as long as it is on trial.
  const scene = new CoordinatorScene();
  scene.pass(0.5 * DURATION_MS);
  t.deepEqual(scene.phases, ['trial']);
});

test('a version that fails is stopped long before fifty bad answers, and for good', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(1_000);
  let bad = 0;
  while (scene.vm.phase !== 'stopped' && bad < 50) {
    scene.pass(STEP_MS, { answers: 2, bad: 1 });
    bad += 1;
  }
  t.true(bad < 20, `${bad} bad answers`);
  t.is(scene.coordinator.getDueState(scene.now), 'rolledBack');
  scene.pass(DURATION_MS);
  t.is(scene.vm.phase, 'stopped');
});

test('a version that turns bad after hundreds of good answers is stopped as soon', (t) => {
  // Summed up over all of the trial the good answers would outweigh the bad ones for seconds.
  const scene = new CoordinatorScene();
  scene.pass(6_000, { answers: 5, bad: 0 });
  scene.pass(1_500, { answers: 2, bad: 1 });
  t.is(scene.vm.phase, 'stopped');
});

test('what harms both versions alike condemns none', (t) => {
  // In a burst, or with a zone in trouble, old targets answer as badly in the same seconds.
  const scene = new CoordinatorScene();
  for (let i = 0; i < 50; i++) {
    scene.answer('old', 20, 11);
    scene.pass(STEP_MS, { answers: 10, bad: 3 });
  }
  t.not(scene.vm.phase, 'stopped');
});

test('one ill target does not condemn its version', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(1_000);
  for (let i = 0; i < 30; i++) {
    scene.answer('new0', 1, 1);
    scene.pass(STEP_MS);
  }
  t.not(scene.vm.phase, 'stopped');
});

test('a version that fails on one rare route is stopped', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(1_000);
  for (let i = 0; i < 30; i++) {
    scene.answer('old', 2, 0, 'sale');
    scene.answer(`new${i % 3}`, 1, i % 2, 'sale');
    scene.pass(STEP_MS, { answers: 5, bad: 0 });
  }
  t.is(scene.vm.phase, 'stopped');
});

test('one VM’s word that a version is condemned is enough', (t) => {
  // Its coordinator may be cut off from this one, and the store away from both.
  const scene = new CoordinatorScene();
  scene.pass(1_000);
  scene.vm.phase = 'stopped';
  scene.report();
  t.is(scene.coordinator.getDueState(scene.now), 'rolledBack');
});

test('completion waits for requests that are still at old targets', (t) => {
  // Old targets stop at once when it is written, and what they are at work on is lost.
  const scene = new CoordinatorScene();
  scene.vm.oldRequests = 1;
  scene.pass(9_900);
  t.is(scene.vm.phase, 'moved');
  t.is(scene.coordinator.getDueState(scene.now), undefined);
  scene.vm.oldRequests = 0;
  scene.report();
  t.is(scene.coordinator.getDueState(scene.now), 'completed');
});

test('a report that comes twice, late or out of order is counted once', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(1_000);
  const before = scene.coordinator.getInputs(scene.now);
  scene.report({ sequence: 3, counts: { 'new0 lookup': { answers: 100, bad: 100 } } });
  scene.report({ sequence: 10 });
  t.deepEqual(scene.coordinator.getInputs(scene.now), before);
});

test('what a VM counted before its restart stays counted', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(1_000);
  const { newAnswers } = scene.coordinator.getInputs(scene.now);
  scene.report({ run: 'b', sequence: 1, counts: { 'new0 lookup': { answers: 3, bad: 0 } } });
  t.is(scene.coordinator.getInputs(scene.now).newAnswers, newAnswers + 3);
});

test('a coordinator that takes over goes on where the others are', (t) => {
  // The first one is killed in the middle of the move. Back in the trial, requests would go to old
  // targets again, and the move would miss its time.
  const scene = new CoordinatorScene();
  scene.pass(9_500);
  t.is(scene.vm.phase, 'moved');
  scene.coordinator = new RolloutCoordinator(ORDER, BOUND, scene.now);
  scene.pass(1_400);
  t.is(scene.coordinator.lastPhase, 'moved');
  t.is(scene.coordinator.getDueState(scene.now), 'completed');
});

test('a version of which too little is seen is neither completed nor tried for ever', (t) => {
  const scene = new CoordinatorScene();
  scene.pass(DURATION_MS, { answers: 0, bad: 0 });
  t.is(scene.coordinator.getDueState(scene.now), undefined);
  scene.pass(1.1 * DURATION_MS, { answers: 0, bad: 0 });
  t.is(scene.coordinator.getDueState(scene.now), 'rolledBack');
});

test('whatever is reported, a stopped version is never completed', (t) => {
  const step = fc.record({
    answers: fc.nat(5),
    badShare: fc.double({ min: 0, max: 1, noNaN: true }),
    phase: fc.constantFrom<RolloutPhase>('trial', 'moving', 'moved', 'stopped'),
    ms: fc.integer({ min: 100, max: 3_000 }),
    restarts: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 25 }), (steps) => {
      const scene = new CoordinatorScene();
      let isStopped = false;
      for (const { answers, badShare, phase, ms, restarts } of steps) {
        if (restarts) scene.coordinator = new RolloutCoordinator(ORDER, BOUND, scene.now);
        // A VM that was told to stop says so for good.
        if (!isStopped) scene.vm.phase = phase;
        scene.pass(ms, { answers, bad: Math.floor(answers * badShare) });
        isStopped ||= scene.vm.phase === 'stopped';
        const due = scene.coordinator.getDueState(scene.now);
        if (isStopped && due !== 'rolledBack') return false;
      }
      return true;
    }),
    { seed: 7, numRuns: 200 },
  );
  t.pass();
});

test('a coordinator that hears from few VMs lets none go on and completes nothing', (t) => {
  // It may be cut off from the others, which go on sending to old targets.
  const scene = new CoordinatorScene();
  scene.pass(9_500);
  t.is(scene.vm.phase, 'moved');
  t.is(scene.coordinator.decide(scene.now, 10), undefined);
  t.is(scene.coordinator.getDueState(scene.now), undefined);
});

test('a coordinator that VMs no longer report to completes nothing', (t) => {
  // They may be cut off from it and have gone on to others, which have condemned the version meanwhile.
  const scene = new CoordinatorScene();
  scene.pass(9_500);
  scene.vm.oldRequests = 1;
  scene.report();
  t.is(scene.vm.phase, 'moved');
  t.is(scene.coordinator.getDueState(scene.now + 5_000), undefined);
});
