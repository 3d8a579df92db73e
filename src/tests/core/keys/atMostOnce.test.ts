import test from 'ava';
import fc from 'fast-check';

import type { Effect, Guards } from '../../../core/index.js';
import { makeConfiguration, makeService } from '../fixtures.js';
import type { Fault } from '../faultSchedules.js';
import { drawSchedule, scheduleFaults } from '../faultSchedules.js';
import type { Process } from '../LocalFleet.js';
import { LocalFleet } from '../LocalFleet.js';

const RUNS = Number(process.env.MASTICLINK_RUNS ?? 40);
const SEED = Number(process.env.MASTICLINK_SEED ?? 5);
const TARGET_LATENCY_MS = 20;

/** A running fleet with one service; records which keyed requests were sent and how they ended. */
class KeyedFleet {
  readonly fleet: LocalFleet;

  /** Names of the requests that were sent to a target, by key. */
  readonly sent = new Map<string, Set<string>>();

  /** Outcome of each request, by its name. */
  readonly outcomes = new Map<string, string>();

  private readonly keys = new Map<string, string>();

  private nextRequest = 1;

  constructor(size: number, seed: number, guards: Partial<Guards> = {}) {
    const settings = { partitionsPerZone: 4, addressTtlMs: 1_000, keyPartitions: 2 };
    this.fleet = new LocalFleet({ size, seed, guards, settings });
    const { root, services } = makeConfiguration(1, [makeService('plongee', 8)]);
    const zones = ['a', 'b', 'c'].map((name) => ({ name, region: 'north', state: 'in' as const }));
    const put = (key: string, value: unknown): void =>
      this.fleet.store.call({ op: 'put', key, value, expect: 0 }, () => {});
    for (const object of services) put(`config/services/plongee/${object.hash}`, object);
    put('config/root', { ...root, zones });
    this.fleet.onEffect = (process, effect) => this.handleEffect(process, effect);
    this.fleet.runFor(2_000);
  }

  /** Sends a booking with a key to an entry VM; returns the request's name. */
  book(vm: number, key: string, fingerprint = 'booking'): string {
    const process = this.fleet.getProcess(vm);
    const request = this.nextRequest;
    this.nextRequest += 1;
    const name = `${process.id}/${request}`;
    this.keys.set(name, key);
    this.fleet.dispatch(process, {
      kind: 'requestArrived',
      request,
      service: 'plongee',
      caller: 'counter',
      method: 'POST',
      fingerprint,
      key,
      deadlineAt: this.fleet.getTime(process) + 4_000,
    });
    return name;
  }

  private handleEffect(process: Process, effect: Effect): void {
    if (effect.kind === 'sendAttempt') {
      const name = `${process.id}/${effect.request}`;
      const key = this.keys.get(name) ?? '';
      this.sent.set(key, (this.sent.get(key) ?? new Set<string>()).add(name));
      this.completeLater(process, effect.attempt);
    }
    if (effect.kind === 'relayAnswer') this.record(process, effect.request, 'ran');
    if (effect.kind === 'replayAnswer') this.record(process, effect.request, 'replayed');
    if (effect.kind === 'answerRequest') this.record(process, effect.request, effect.answer.code);
  }

  private record(process: Process, request: number, outcome: string): void {
    this.outcomes.set(`${process.id}/${request}`, outcome);
  }

  private completeLater(process: Process, attempt: number): void {
    this.fleet.clock.after(TARGET_LATENCY_MS, () => {
      this.fleet.dispatch(process, { kind: 'attemptAnswered', attempt, status: 201 });
      const stored = { status: 201, contentType: 'text/plain', body: 'Ym9va2Vk' };
      this.fleet.dispatch(process, {
        kind: 'attemptEnded',
        attempt,
        end: 'complete',
        bodyReplayable: true,
        stored,
      });
    });
  }
}

test('a booking that is repeated to other entry VMs runs once and its answer is replayed', (t) => {
  // A caller loses its connection and repeats the booking at another entry VM. Without the key the
  // booking would be made, and charged, twice.
  const keyed = new KeyedFleet(5, 1);
  const first = keyed.book(0, 'k1');
  const meanwhile = keyed.book(1, 'k1');
  keyed.fleet.runFor(500);
  const later = keyed.book(2, 'k1');
  const other = keyed.book(3, 'k1', 'another body');
  keyed.fleet.runFor(500);
  t.deepEqual(
    [first, meanwhile, later, other].map((name) => keyed.outcomes.get(name)),
    ['ran', 'key-in-progress', 'replayed', 'key-mismatch'],
  );
  t.is(keyed.sent.get('k1')?.size, 1);
});

test('bookings are refused in bounded time while the store is down, and run afterwards', (t) => {
  // No booking may run unless its key was recorded. A caller that repeats the booking after the
  // outage must not get the answer that it is still in progress.
  const keyed = new KeyedFleet(5, 2);
  for (const down of ['refusing', 'hanging'] as const) {
    keyed.fleet.store.faults.down = down;
    const name = keyed.book(0, down);
    keyed.fleet.runFor(1_700);
    t.is(keyed.outcomes.get(name), 'key-store-unavailable');
    keyed.fleet.store.faults.down = undefined;
    keyed.fleet.runFor(25_000);
    const again = keyed.book(1, down);
    keyed.fleet.runFor(1_000);
    t.is(keyed.outcomes.get(again), 'ran', down);
  }
});

test('a key recorded by a write whose answer was lost is released after the refusal', (t) => {
  // The store records the key, its answer is lost, and then it goes down: the booking is refused.
  // The key must not stay in progress, or no later attempt could run.
  const keyed = new KeyedFleet(3, 3);
  keyed.fleet.store.faults.losesAnswer = (op) => op.op === 'put' && op.key.startsWith('keys/');
  const name = keyed.book(0, 'k');
  keyed.fleet.runFor(100);
  keyed.fleet.store.faults.down = 'hanging';
  keyed.fleet.runFor(2_000);
  t.is(keyed.outcomes.get(name), 'key-store-unavailable');
  keyed.fleet.store.faults.down = undefined;
  keyed.fleet.store.faults.losesAnswer = undefined;
  keyed.fleet.runFor(25_000);
  const again = keyed.book(1, 'k');
  keyed.fleet.runFor(1_000);
  t.is(keyed.outcomes.get(again), 'ran');
});

test('a home that was paused cannot record a key that another home recorded meanwhile', (t) => {
  // The home is paused while it records a key; another process takes over as home and records the
  // key for the repeated booking. When the first resumes, it must not let the booking run again.
  for (let seed = 1; seed <= 12; seed++) {
    const keyed = new KeyedFleet(4, seed);
    const home = seed % 4;
    keyed.book((seed + 1) % 4, 'k');
    keyed.fleet.runFor(seed);
    const paused = keyed.fleet.getProcess(home);
    paused.condition = 'paused';
    keyed.fleet.runFor(3_000);
    keyed.book((seed + 2) % 4, 'k');
    keyed.fleet.runFor(20);
    keyed.fleet.resume(paused);
    keyed.book(home, 'k');
    keyed.fleet.runFor(3_000);
    t.true((keyed.sent.get('k')?.size ?? 0) <= 1, `seed ${seed}`);
  }
});

test('records move to segments before the head grows large, and are still found', (t) => {
  // A partition gets thousands of bookings a day, and the store accepts at most 1 MB per object.
  const keyed = new KeyedFleet(3, 4);
  for (let i = 0; i < 1_200; i++) {
    keyed.book(i % 3, `k${i}`);
    if (i % 4 === 3) keyed.fleet.runFor(30);
  }
  keyed.fleet.runFor(3_000);
  const heads = [0, 1].map((n) => JSON.stringify(keyed.fleet.store.peek(`keys/${n}`)?.value));
  t.true(heads.every((text) => text.length < 200_000));
  t.true(heads.some((text) => (JSON.parse(text) as { segments: unknown[] }).segments.length > 0));
  const homes = keyed.fleet.processes.filter(({ state }) => state.keys.partitions.size > 0);
  for (const { state } of homes) state.keys.partitions.clear();
  const early = keyed.book(1, 'k2');
  keyed.fleet.runFor(500);
  t.is(keyed.outcomes.get(early), 'replayed');
});

/** Sends three bookings six times each during scheduled faults; returns those that ran twice. */
function runBookings(
  schedule: readonly Fault[],
  seed: number,
  guards: Partial<Guards> = {},
): string[] {
  const keyed = new KeyedFleet(3, seed, guards);
  scheduleFaults(keyed.fleet, schedule);
  const violations: string[] = [];
  for (let i = 0; i < 18; i++) {
    keyed.fleet.runFor(300);
    const vm = Math.floor(keyed.fleet.random() * 3);
    if (keyed.fleet.getProcess(vm).condition !== 'ended') keyed.book(vm, `k${i % 3}`);
  }
  keyed.fleet.runFor(8_000);
  for (const [key, names] of keyed.sent) {
    if (names.size > 1) violations.push(`${key} ran as ${[...names].join(' and ')}`);
  }
  return violations;
}

test('no booking runs twice, whatever fails', (t) => {
  // Entry VMs, links and the store fail in any order while callers repeat their bookings at any
  // entry VM. A booking that runs twice is charged twice.
  fc.assert(
    fc.property(
      drawSchedule(3, 5_000),
      fc.integer({ min: 1, max: 1_000_000 }),
      (schedule, seed) => {
        const violations = runBookings(schedule, seed);
        if (violations.length > 0) throw new Error(violations.join('\n'));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

/** Whether some schedule of faults makes a booking run twice with weakened guards. */
function findsViolation(guards: Partial<Guards>): boolean {
  const property = fc.property(
    drawSchedule(3, 5_000),
    fc.integer({ min: 1, max: 1_000_000 }),
    (schedule, seed) => runBookings(schedule, seed, guards).length === 0,
  );
  return fc.check(property, { seed: SEED, numRuns: 300, endOnFailure: true }).failed;
}

test('without its guards the property above fails', (t) => {
  // Shows that the property is able to fail.
  t.true(findsViolation({ claimBeforeSend: () => false }));
  t.true(findsViolation({ conditionalKeyWrite: () => true }));
});
