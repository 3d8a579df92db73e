import test from 'ava';
import fc from 'fast-check';

import type { Guards } from '../../../core/guards.js';
import type { AttemptEnd, Effect } from '../../../core/index.js';
import { makeService } from '../fixtures.js';
import type { ObservedAttempt } from './CoreDriver.js';
import { CoreDriver } from './CoreDriver.js';

type Step =
  | { readonly do: 'arrive'; readonly method: 'GET' | 'POST'; readonly caller: string }
  | { readonly do: 'answer'; readonly pick: number; readonly status: number }
  | { readonly do: 'end'; readonly pick: number; readonly end: AttemptEnd; readonly again: boolean }
  | { readonly do: 'cancel'; readonly pick: number }
  | { readonly do: 'pass'; readonly ms: number };

const ENDS: AttemptEnd[] = ['complete', 'notSent', 'reset', 'cut', 'cancelled', 'timedOut'];

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('arrive' as const),
      method: fc.constantFrom('GET' as const, 'POST' as const),
      caller: fc.constantFrom('door', 'counter'),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('answer' as const),
      pick: fc.nat(20),
      status: fc.constantFrom(200, 200, 200, 500, 503),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('end' as const),
      pick: fc.nat(20),
      end: fc.constantFrom<AttemptEnd>('complete', 'complete', ...ENDS),
      again: fc.boolean(),
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cancel' as const), pick: fc.nat(20) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('pass' as const), ms: fc.nat(200) }) },
);

/** Whether an attempt may have run its request, as far as an observer can tell. */
function hasPossiblyRun(attempt: ObservedAttempt): boolean {
  if (attempt.answered === 'refused') return false;
  return attempt.end !== 'notSent';
}

/** Checks each effect of one core and throws at the first broken property. */
class PromiseChecker {
  readonly finalAnswers = new Map<number, string>();

  readonly cancelled = new Set<number>();

  readonly relays = new Map<number, number>();

  constructor(
    private readonly driver: CoreDriver,
    private readonly methods: ReadonlyMap<number, string>,
  ) {}

  checkEffect(effect: Effect): void {
    if (effect.kind === 'sendAttempt') this.checkSentAttempt(effect.request, effect.attempt);
    if (effect.kind === 'relayAnswer') {
      if (this.relays.has(effect.request)) throw new Error('two answers relayed');
      if (this.driver.attempts.get(effect.attempt)?.sent.request !== effect.request) {
        throw new Error('answer of another request relayed');
      }
      this.relays.set(effect.request, effect.attempt);
      this.checkFinalAnswer(effect.request, 'relay');
    }
    if (effect.kind === 'abortRequest' && !this.relays.has(effect.request)) {
      throw new Error('aborted without a relayed answer');
    }
    if (effect.kind !== 'answerRequest') return;
    this.checkFinalAnswer(effect.request, 'own');
    const ran = this.driver.getAttempts(effect.request).some(hasPossiblyRun);
    if (ran && effect.answer.outcome === 'not-run') throw new Error('not-run said untruly');
  }

  private checkFinalAnswer(request: number, kind: string): void {
    if (this.finalAnswers.has(request)) throw new Error('two final answers');
    if (this.cancelled.has(request)) throw new Error('answer for a caller that left');
    this.finalAnswers.set(request, kind);
  }

  private checkSentAttempt(request: number, attempt: number): void {
    const others = this.driver.getAttempts(request).filter(({ sent }) => sent.attempt !== attempt);
    if (this.methods.get(request) === 'POST' && others.some(hasPossiblyRun)) {
      throw new Error('sent again after a byte may have left');
    }
    if (others.length > 8) throw new Error('request sent too often');
    for (const record of this.driver.state.targets.records.values()) {
      const most = record.phase === 'cold' ? 1 : record.limit;
      const isHere = record.outstanding.has(attempt);
      if (isHere && record.outstanding.size > most) throw new Error('over the limit');
    }
  }
}

function performStep(
  driver: CoreDriver,
  checker: PromiseChecker,
  methods: Map<number, string>,
  next: Step,
): void {
  const live = driver.getOpenAttempts();
  if (next.do === 'arrive') {
    const request = methods.size + 1;
    methods.set(request, next.method);
    driver.arrive({ method: next.method, caller: next.caller, fingerprint: `f${request % 5}` });
  } else if (next.do === 'pass') {
    driver.advance(next.ms);
  } else if (next.do === 'cancel') {
    const request = (next.pick % Math.max(1, methods.size)) + 1;
    if (!methods.has(request) || checker.finalAnswers.get(request) === 'own') return;
    checker.cancelled.add(request);
    driver.dispatch({ kind: 'requestCancelled', request });
  } else if (live.length > 0) {
    const { attempt } = live[next.pick % live.length].sent;
    if (next.do === 'answer') {
      driver.answer(attempt, next.status);
    } else {
      driver.end(attempt, next.end);
      // A repeated end and an answer that comes too late must change nothing.
      if (next.again) {
        driver.end(attempt, 'reset');
        driver.dispatch({ kind: 'attemptAnswered', attempt, status: 200 });
      }
    }
  }
}

function finishAndCheck(
  driver: CoreDriver,
  checker: PromiseChecker,
  methods: ReadonlyMap<number, string>,
): void {
  for (let i = 0; i < 400 && driver.state.requests.requests.size > 0; i++) {
    driver.advance(50);
    for (const { sent } of driver.getOpenAttempts()) driver.complete(sent.attempt);
  }
  for (const request of methods.keys()) {
    const isOver = checker.finalAnswers.has(request) || checker.cancelled.has(request);
    if (!isOver) throw new Error(`request ${request} was never answered`);
  }
  for (const { sent } of driver.getOpenAttempts()) driver.end(sent.attempt, 'cancelled');
  const { requests, targets } = driver.state;
  if (requests.attempts.size + requests.requests.size > 0) throw new Error('open requests left');
  for (const traffic of requests.traffic.values()) {
    if (traffic.openRequests !== 0 || traffic.queue.length !== 0) throw new Error('count is not 0');
  }
  for (const record of targets.records.values()) {
    if (record.outstanding.size > 0) throw new Error('a slot was not freed');
  }
}

function runSteps(steps: readonly Step[], guards: Partial<Guards>): void {
  const driver = new CoreDriver([makeService('horaires', 3)], guards);
  const methods = new Map<number, string>();
  const checker = new PromiseChecker(driver, methods);
  driver.onEffect = (effect) => checker.checkEffect(effect);
  for (const next of steps) performStep(driver, checker, methods, next);
  finishAndCheck(driver, checker, methods);
}

function checkProperties(guards: Partial<Guards> = {}): void {
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 120 }), (steps) => {
      runSteps(steps, guards);
    }),
    { seed: 4, numRuns: 300, includeErrorInReport: true },
  );
}

// Requests, answers, failures, late and repeated events in any order. The faults that a user would
// notice are a booking made twice, the answer to another request, or no answer at all.
test('each request gets one correct answer, and non-repeatable ones are not sent twice', (t) => {
  t.notThrows(() => checkProperties());
});

// Shows that the properties can fail: with a guard removed, they have to find the fault that it
// prevents.
test('the properties fail without the guards', (t) => {
  t.throws(() => checkProperties({ noResendAfterByte: () => true }), {
    message: /byte may have left/,
  });
  t.throws(() => checkProperties({ notRunOnlyIfCertain: () => true }), {
    message: /not-run said untruly/,
  });
  t.throws(() => checkProperties({ coldLimit: () => 2 }), { message: /over the limit/ });
});
