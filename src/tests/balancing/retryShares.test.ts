import type { ExecutionContext } from 'ava';
import test from 'ava';

import type { AttemptResult } from '../../balancing/index.js';
import { findWorstRetryWindow } from '../../soak/retryWindows.js';
import type { ArrivalRecord, RetryWindow, SentRequest } from '../../soak/retryWindows.js';
import { makeSettings, makeTarget, ROUTE, Scene } from './scene.js';

const TARGETS = Array.from({ length: 12 }, (_, i) => makeTarget(`t-${i + 1}`));
const ROUTES = [{ ...ROUTE, maxTargets: 3 }];

/** Time between two requests to the fleet, in milliseconds. */
const REQUEST_INTERVAL_MS = 20;

/** Time that the VMs run before their targets fail, in milliseconds. */
const WARM_UP_MS = 12_000;

const BROKEN: AttemptResult = { kind: 'broken' };
const ANSWERED: AttemptResult = { kind: 'answered', status: 200 };

/** Share of its allowance that the fleet uses at least while all requests fail and nothing restarts. */
const MIN_USED_SHARE = 0.75;

/** Entry VMs whose targets break off every request once they fail. */
class RetryFleet {
  readonly requests: SentRequest[] = [];

  readonly arrivals: ArrivalRecord[] = [];

  now = 0;

  areTargetsFailing = true;

  private readonly scenes = new Map<string, Scene>();

  constructor(
    readonly names: readonly string[],
    private readonly intervalMs = REQUEST_INTERVAL_MS,
  ) {
    for (const name of names) this.start(name);
    this.announce(names);
    this.now = WARM_UP_MS;
  }

  /** Starts a VM, or replaces its process; it does not know the other VMs yet. */
  start(name: string): void {
    const scene = new Scene(TARGETS, ROUTES, name, undefined, this.now);
    this.scenes.set(name, scene);
  }

  /** Removes a VM. */
  end(name: string): void {
    this.scenes.delete(name);
  }

  /** Tells VMs which others there are. */
  announce(vms: readonly string[], to: readonly string[] = this.names, announced = vms): void {
    for (const name of to) {
      const scene = this.scenes.get(name);
      if (scene === undefined) continue;
      scene.now = this.now;
      scene.dispatch({ kind: 'vmsChanged', vms: [...vms], announced });
    }
  }

  /** Sends requests to the running VMs in turn for a time. */
  run(ms: number): void {
    const until = this.now + ms;
    for (; this.now < until; this.now += this.intervalMs) {
      const scenes = [...this.scenes.values()];
      this.sendRequest(scenes[this.requests.length % scenes.length]);
    }
  }

  /** The window that uses most of the limit. */
  get worst(): RetryWindow {
    const { retries } = makeSettings('vm-1');
    return findWorstRetryWindow(this.requests, this.arrivals, retries);
  }

  private sendRequest(scene: Scene): void {
    const id = `r-${this.requests.length}`;
    this.requests.push({ id, sentAt: this.now });
    // The steps of one request take no time here, so that requests do not compete for slots.
    scene.now = this.now;
    const request = scene.arrive();
    let seen = scene.all('sendAttempt').length;
    for (let step = 0; step < 12 && scene.state.pendingRequests.has(request); step++) {
      scene.answerProbes();
      const sent = scene.all('sendAttempt').slice(seen);
      seen += sent.length;
      for (const { attempt } of sent) {
        this.arrivals.push({ id, at: this.now });
        const end = this.areTargetsFailing ? BROKEN : ANSWERED;
        scene.dispatch({ kind: 'attemptEnded', attempt, end });
      }
      if (sent.length === 0) scene.wait(15, request);
    }
  }
}

function assertWithinLimit(t: ExecutionContext, { worst }: RetryFleet): void {
  t.true(worst.retries <= worst.allowed, JSON.stringify(worst));
}

function makeNames(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `vm-${i + 1}`);
}

function without(names: readonly string[], gone: string): string[] {
  return names.filter((name) => name !== gone);
}

// Throttled more than the limit asks for, callers get failures that a second target would have spared them.
test('the VMs together use their limit on retries while none of them restarts', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(25_000);
  assertWithinLimit(t, fleet);
  const { worst } = fleet;
  t.true(worst.retries >= MIN_USED_SHARE * worst.allowed, JSON.stringify(worst));
});

// Each VM that stops leaves its share to the others, although it has used it within the window.
test('retries stay within their limit while VMs leave', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(6_000);
  let left = fleet.names;
  for (const name of fleet.names.slice(0, 12)) {
    fleet.end(name);
    left = without(left, name);
    fleet.announce(left);
    fleet.run(250);
  }
  fleet.run(12_000);
  assertWithinLimit(t, fleet);
});

// A process that has just started has used nothing, while its predecessor has used the same share.
test('retries stay within their limit while VMs are killed and restarted', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(6_000);
  for (let kill = 0; kill < 5; kill++) {
    for (const name of fleet.names.slice(0, 8)) fleet.start(name);
    fleet.announce(fleet.names);
    fleet.run(2_000);
  }
  assertWithinLimit(t, fleet);
});

// What requests allowed before a failure would be used by a process and then once more by its successor.
test('retries stay within their limit while all VMs are killed soon after a failure has begun', (t) => {
  for (const intervalMs of [20, 4]) {
    const fleet = new RetryFleet(makeNames(15), intervalMs);
    fleet.areTargetsFailing = false;
    fleet.run(11_000);
    fleet.areTargetsFailing = true;
    fleet.run(2_000);
    for (let kill = 0; kill < 3; kill++) {
      for (const name of fleet.names) fleet.start(name);
      fleet.announce(fleet.names);
      fleet.run(4_000);
    }
    assertWithinLimit(t, fleet);
  }
});

// Without the list of VMs, a process takes itself for the only one and the whole slack for its own.
test('retries stay within their limit while restarted VMs cannot read which others there are', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(6_000);
  for (const name of fleet.names) fleet.start(name);
  fleet.run(25_000);
  assertWithinLimit(t, fleet);
});

// Two halves that do not reach each other would each take the other's share, and both go on sending.
test('retries stay within their limit while VMs hold each other for down', (t) => {
  const fleet = new RetryFleet(makeNames(14));
  fleet.run(6_000);
  for (const half of [fleet.names.slice(0, 7), fleet.names.slice(7)]) {
    fleet.announce(half, half, fleet.names);
  }
  fleet.run(25_000);
  assertWithinLimit(t, fleet);
});

// Added VMs take shares while the others still hold the larger shares of the smaller fleet.
test('retries stay within their limit while VMs are added', (t) => {
  const fleet = new RetryFleet(makeNames(6));
  fleet.run(6_000);
  const all = makeNames(12);
  for (const name of all.slice(6)) fleet.start(name);
  fleet.announce(all, all.slice(6));
  fleet.run(2_000);
  fleet.announce(all, all);
  fleet.run(15_000);
  assertWithinLimit(t, fleet);
});

/** VMs that an older copy of the store knows. */
const KNOWN_VMS = ['vm-1', 'vm-2'];

// A store that comes back from an older copy lacks most VMs, which would divide the slack by the few that it knows.
test('retries stay within their limit while the store knows only a few of the VMs', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(6_000);
  fleet.announce(fleet.names, fleet.names, KNOWN_VMS);
  fleet.run(25_000);
  assertWithinLimit(t, fleet);
});

// A restarted VM has never known the others, and one that is listed takes a larger share than before.
test('retries stay within their limit while VMs restart and the store knows only a few of them', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(6_000);
  for (const name of fleet.names.slice(0, 8)) fleet.start(name);
  fleet.announce(fleet.names, fleet.names, KNOWN_VMS);
  fleet.run(20_000);
  assertWithinLimit(t, fleet);
});

// VMs that announce themselves again would take their shares while the others still hold larger ones.
test('retries stay within their limit while VMs that the store has lost announce themselves again', (t) => {
  const fleet = new RetryFleet(makeNames(15));
  fleet.run(6_000);
  fleet.announce(fleet.names, fleet.names, KNOWN_VMS);
  fleet.run(18_000);
  fleet.announce(fleet.names, fleet.names.slice(2));
  fleet.run(1_000);
  fleet.announce(fleet.names);
  fleet.run(25_000);
  assertWithinLimit(t, fleet);
});
