import test from 'ava';

import type { BalancerEffect, BalancerEvent } from '../../balancing/index.js';
import { createBalancerState, reduceBalancer } from '../../balancing/index.js';
import { makeReading, makeSettings, makeTarget, TABLE } from './scene.js';

const TARGETS = [makeTarget('t-1'), makeTarget('t-2')];
const ALLOWED_MS = 4_000;

/** An entry VM that has just started and knows nothing. */
class Start {
  readonly state = createBalancerState(makeSettings('vm-1'));

  readonly effects: BalancerEffect[] = [];

  /** Hands an event over at a time, in milliseconds after the start. */
  at(now: number, event: BalancerEvent): void {
    this.effects.push(...reduceBalancer(this.state, event, { now, random: () => 0.5 }));
  }

  arrive(now: number, request: number): void {
    this.at(now, {
      kind: 'requestArrived',
      request,
      callerRequestId: `r-${request}`,
      host: 'door.example',
      path: '/horaires/today',
      allowedMs: ALLOWED_MS,
      arrivedAt: now,
    });
  }

  /** Answers every probe that is out, each target as idle. */
  answerProbes(now: number): void {
    for (const { entry, probeSentAt } of this.state.targets.values()) {
      if (probeSentAt === undefined) continue;
      const end = { kind: 'answered', coldMs: 0, reading: makeReading(now, 0) } as const;
      this.at(now, { kind: 'probeEnded', target: entry.id, bornAt: entry.bornAt, end });
    }
  }

  get answers() {
    return this.effects.filter((effect) => effect.kind === 'answer');
  }

  get sent(): number[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'sendAttempt' ? [effect.request] : [],
    );
  }
}

test('requests that come while all VMs start are served as soon as targets are known', (t) => {
  // All VMs lost power and are back. Each takes callers some 200 ms before it has read configuration
  // and targets. Refused, callers come back when their objective is over, and all targets were idle.
  const start = new Start();
  start.arrive(120, 1);
  start.at(150, { kind: 'tableRead', table: TABLE });
  start.arrive(200, 2);
  t.deepEqual(start.answers, []);
  start.at(320, { kind: 'targetsRead', targets: TARGETS });
  start.answerProbes(324);
  t.deepEqual(start.answers, []);
  t.deepEqual(start.sent, [1, 2]);
});

test('a VM that learns nothing refuses those who wait, and all others at once', (t) => {
  // The store is away for a VM that starts, and so are the VMs that it could ask. Who comes is kept
  // for half a second after the start at the most; nobody is kept for something that may never come.
  const start = new Start();
  start.arrive(400, 1);
  start.at(500, { kind: 'wakeDue', request: 1 });
  t.is(start.answers.length, 1);
  start.arrive(600, 2);
  t.is(start.answers.length, 2);
  for (const answer of start.answers) t.like(answer, { status: 503, reason: 'notConfigured' });
});

test('nothing is sent for a caller who left while the VM was starting', (t) => {
  const start = new Start();
  start.arrive(120, 1);
  start.at(130, { kind: 'callerLeft', request: 1 });
  start.at(150, { kind: 'tableRead', table: TABLE });
  start.at(160, { kind: 'targetsRead', targets: TARGETS });
  start.answerProbes(164);
  t.deepEqual(start.sent, []);
});

test('a VM that knows a service without targets refuses once its start is over', (t) => {
  const start = new Start();
  start.at(150, { kind: 'tableRead', table: TABLE });
  start.at(160, { kind: 'targetsRead', targets: [] });
  start.arrive(200, 1);
  start.at(500, { kind: 'wakeDue', request: 1 });
  t.like(start.answers[0], { status: 503, reason: 'noTarget' });
});

test('while targets are still being read a request waits until its service has enough of them', (t) => {
  // After a loss of power all VMs read hundreds of targets over weak links, page by page. With the first few
  // they need not wait for the last, but all of them would bury one or two.
  const start = new Start();
  start.arrive(120, 1);
  start.at(150, { kind: 'tableRead', table: TABLE });
  start.at(160, { kind: 'targetsRead', targets: TARGETS, isPartial: true });
  start.answerProbes(162);
  t.deepEqual(start.sent, []);
  const more = Array.from({ length: 8 }, (_, i) => makeTarget(`t-${i + 10}`));
  start.at(170, { kind: 'targetsRead', targets: [...TARGETS, ...more], isPartial: true });
  start.answerProbes(172);
  t.deepEqual(start.sent, [1]);
});
