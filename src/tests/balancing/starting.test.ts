import test from 'ava';

import type { BalancerEffect, BalancerEvent } from '../../balancing/index.js';
import { createBalancerState, reduceBalancer } from '../../balancing/index.js';
import { makeReading, makeSettings, makeTarget, TABLE } from './scene.js';

const TARGETS = [makeTarget('t-1'), makeTarget('t-2')];
const ALLOWED_MS = 4_000;

/** An entry VM that has just started and has read nothing yet. */
class Start {
  readonly state = createBalancerState(makeSettings('vm-1'));

  readonly effects: BalancerEffect[] = [];

  /** Handles an event at a time in milliseconds after the start. */
  at(now: number, event: BalancerEvent): void {
    this.effects.push(...reduceBalancer(this.state, event, { now, random: () => 0.5 }));
  }

  arrive(now: number, request: number): void {
    this.at(now, {
      kind: 'requestArrived',
      request,
      callerRequestId: `r-${request}`,
      fingerprint: `f-${request}`,
      host: 'door.example',
      path: '/horaires/today',
      allowedMs: ALLOWED_MS,
      arrivedAt: now,
    });
  }

  /** Answers every open probe; all targets are idle. */
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

test('requests that arrive while all VMs start are served as soon as targets are known', (t) => {
  // After a power loss all VMs accept callers some 200 ms before they have read configuration and
  // targets. If they refused these callers, they would retry only after their objective has passed,
  // while all targets are idle.
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

test('a VM that cannot read anything refuses held requests, and later ones at once', (t) => {
  // Neither the store nor another VM can be reached. Requests are held for at most half a second
  // after the start, since what they wait for may never arrive.
  const start = new Start();
  start.arrive(400, 1);
  start.at(500, { kind: 'wakeDue', request: 1 });
  t.is(start.answers.length, 1);
  start.arrive(600, 2);
  t.is(start.answers.length, 2);
  for (const answer of start.answers) t.like(answer, { status: 503, reason: 'notConfigured' });
});

test('nothing is sent for a caller that disconnected while the VM was starting', (t) => {
  const start = new Start();
  start.arrive(120, 1);
  start.at(130, { kind: 'callerLeft', request: 1 });
  start.at(150, { kind: 'tableRead', table: TABLE });
  start.at(160, { kind: 'targetsRead', targets: TARGETS });
  start.answerProbes(164);
  t.deepEqual(start.sent, []);
});

test('requests for a service without targets are refused once the startup time is over', (t) => {
  const start = new Start();
  start.at(150, { kind: 'tableRead', table: TABLE });
  start.at(160, { kind: 'targetsRead', targets: [] });
  start.arrive(200, 1);
  start.at(500, { kind: 'wakeDue', request: 1 });
  t.like(start.answers[0], { status: 503, reason: 'noTarget' });
});

test('while targets are being read a request is held until its service has enough of them', (t) => {
  // After a power loss all VMs read hundreds of targets over slow links, page by page. A request
  // need not wait for the last target, but all VMs together would overload the first one or two.
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
