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
  position: { epoch: 0, revision: 1 },
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
    this.coordinator.addReport(
      { ...report, ageMs: this.now, phase, oldRequests, counts, ...changes },
      this.now,
    );
    const guidance = this.coordinator.decide(this.now, 1);
    if (guidance === undefined) return;
    this.vm.phase = guidance.phase;
    if (this.phases.at(-1) !== guidance.phase) this.phases.push(guidance.phase);
  }

  addAnswers(group: string, answers: number, bad: number, route = 'lookup'): void {
    const key = `${group} ${route}`;
    const known = this.vm.counts[key] ?? { answers: 0, bad: 0 };
    this.vm.counts[key] = { answers: known.answers + answers, bad: known.bad + bad };
  }

  /**
   * Advances the time in steps; in each step, old targets answer 20 requests, one of them badly,
   * and one new target answers as given.
   */
  advance(ms: number, newCounts: { answers: number; bad: number } = { answers: 2, bad: 0 }): void {
    const endsAt = this.now + ms;
    while (this.now < endsAt) {
      this.now += STEP_MS;
      this.steps += 1;
      this.addAnswers('old', 20, 1);
      this.addAnswers(`new${this.steps % 3}`, newCounts.answers, newCounts.bad);
      this.report();
    }
  }
}

test('a good version goes through the trial and the steps of the move, and completes in time', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(DURATION_MS - 1_000);
  t.deepEqual(scene.phases, ['trial', 'moving', 'moved']);
  t.is(scene.coordinator.getDueState(scene.now), 'completed');
});

test('the move does not begin before the trial has lasted its minimum time', (t) => {
  // A version that turns bad late does little harm while it is on trial.
  const scene = new CoordinatorScene();
  scene.advance(0.5 * DURATION_MS);
  t.deepEqual(scene.phases, ['trial']);
});

test('a failing version is stopped well before fifty bad answers and stays stopped', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(1_000);
  let bad = 0;
  while (scene.vm.phase !== 'stopped' && bad < 50) {
    scene.advance(STEP_MS, { answers: 2, bad: 1 });
    bad += 1;
  }
  t.true(bad < 20, `${bad} bad answers`);
  t.is(scene.coordinator.getDueState(scene.now), 'rolledBack');
  scene.advance(DURATION_MS);
  t.is(scene.vm.phase, 'stopped');
});

test('a version that turns bad after hundreds of good answers is stopped just as quickly', (t) => {
  // If the evidence were summed over the whole trial, the good answers would outweigh the bad ones
  // for seconds.
  const scene = new CoordinatorScene();
  scene.advance(6_000, { answers: 5, bad: 0 });
  scene.advance(1_500, { answers: 2, bad: 1 });
  t.is(scene.vm.phase, 'stopped');
});

test('a fault that affects both versions alike does not stop the new one', (t) => {
  // During a burst or a failing zone, old targets give as many bad answers over the same period.
  const scene = new CoordinatorScene();
  for (let i = 0; i < 50; i++) {
    scene.addAnswers('old', 20, 11);
    scene.advance(STEP_MS, { answers: 10, bad: 3 });
  }
  t.not(scene.vm.phase, 'stopped');
});

test('a single faulty target does not stop its version', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(1_000);
  for (let i = 0; i < 30; i++) {
    scene.addAnswers('new0', 1, 1);
    scene.advance(STEP_MS);
  }
  t.not(scene.vm.phase, 'stopped');
});

test('a version that fails on a single rarely used route is stopped', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(1_000);
  for (let i = 0; i < 30; i++) {
    scene.addAnswers('old', 2, 0, 'sale');
    scene.addAnswers(`new${i % 3}`, 1, i % 2, 'sale');
    scene.advance(STEP_MS, { answers: 5, bad: 0 });
  }
  t.is(scene.vm.phase, 'stopped');
});

test('a single VM’s report that a version was stopped is sufficient', (t) => {
  // Its coordinator may be partitioned from this one, and the store unreachable for both.
  const scene = new CoordinatorScene();
  scene.advance(1_000);
  scene.vm.phase = 'stopped';
  scene.report();
  t.is(scene.coordinator.getDueState(scene.now), 'rolledBack');
});

test('completion waits for the requests that remain at old targets', (t) => {
  // Old targets are stopped as soon as completion is written, and requests still running there are
  // lost.
  const scene = new CoordinatorScene();
  scene.vm.oldRequests = 1;
  scene.advance(9_900);
  t.is(scene.vm.phase, 'moved');
  t.is(scene.coordinator.getDueState(scene.now), undefined);
  scene.vm.oldRequests = 0;
  scene.report();
  t.is(scene.coordinator.getDueState(scene.now), 'completed');
});

test('a duplicate, late or reordered report is counted once', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(1_000);
  const before = scene.coordinator.getInputs(scene.now);
  scene.report({ sequence: 3, counts: { 'new0 lookup': { answers: 100, bad: 100 } } });
  scene.report({ sequence: 10 });
  t.deepEqual(scene.coordinator.getInputs(scene.now), before);
});

test('answers that a VM counted before its restart remain in the totals', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(1_000);
  const { newAnswers } = scene.coordinator.getInputs(scene.now);
  scene.report({ run: 'b', sequence: 1, counts: { 'new0 lookup': { answers: 3, bad: 0 } } });
  t.is(scene.coordinator.getInputs(scene.now).newAnswers, newAnswers + 3);
});

test('a coordinator that takes over continues in the current phase', (t) => {
  // The first coordinator is killed during the move. If its successor went back to the trial,
  // requests would go to old targets again and the move would miss its deadline.
  const scene = new CoordinatorScene();
  scene.advance(9_500);
  t.is(scene.vm.phase, 'moved');
  scene.coordinator = new RolloutCoordinator(ORDER, BOUND, scene.now);
  scene.advance(1_400);
  t.is(scene.coordinator.currentPhase, 'moved');
  t.is(scene.coordinator.getDueState(scene.now), 'completed');
});

test('a version with too few answers is never completed and is rolled back after twice the ordered time', (t) => {
  const scene = new CoordinatorScene();
  scene.advance(DURATION_MS, { answers: 0, bad: 0 });
  t.is(scene.coordinator.getDueState(scene.now), undefined);
  scene.advance(1.1 * DURATION_MS, { answers: 0, bad: 0 });
  t.is(scene.coordinator.getDueState(scene.now), 'rolledBack');
});

test('a stopped version is never completed, whatever VMs report', (t) => {
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
        // A VM that was told to stop keeps reporting so.
        if (!isStopped) scene.vm.phase = phase;
        scene.advance(ms, { answers, bad: Math.floor(answers * badShare) });
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

test('a coordinator that hears from few VMs gives no guidance and completes nothing', (t) => {
  // It may be partitioned from the other VMs, which still send requests to old targets.
  const scene = new CoordinatorScene();
  scene.advance(9_500);
  t.is(scene.vm.phase, 'moved');
  t.is(scene.coordinator.decide(scene.now, 10), undefined);
  t.is(scene.coordinator.getDueState(scene.now), undefined);
});

test('a coordinator that receives no more reports completes nothing', (t) => {
  // The VMs may be partitioned from it and have turned to other coordinators, which may have
  // stopped the version meanwhile.
  const scene = new CoordinatorScene();
  scene.advance(9_500);
  scene.vm.oldRequests = 1;
  scene.report();
  t.is(scene.vm.phase, 'moved');
  t.is(scene.coordinator.getDueState(scene.now + 5_000), undefined);
});
