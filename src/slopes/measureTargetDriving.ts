import type { EntryState } from '../core/index.js';
import { reduce } from '../core/index.js';
import { measureMemory, measureProcessor } from './meters.js';
import { createIdleFleet } from './runIdleFleet.js';
import type { Slope } from './Slope.js';
import { measureSlope } from './Slope.js';

const TARGET_COUNTS = [8, 16, 32, 64, 128] as const;
const REQUESTS = 20_000;
const SETTLE_MS = 8_000;

interface SettledProcess {
  readonly state: EntryState;
  readonly now: number;
}

/** A process alone in its fleet that drives so many targets of one service. */
function settle(targets: number): SettledProcess {
  const size = { members: 1, services: 1, targetsPerService: targets, zones: 1 };
  const fleet = createIdleFleet(size, () => {});
  fleet.start();
  fleet.clock.runUntil(SETTLE_MS);
  const [vm] = fleet.current.values();
  if (vm === undefined) throw new Error('the fleet has no process');
  return { state: vm.state, now: vm.now() };
}

/** Takes one request through the core: arrival, answer's head, end. */
function runOne({ state, now }: SettledProcess, request: number): void {
  const context = { now, random: () => 0.5 };
  const sent = reduce(
    state,
    {
      kind: 'requestArrived',
      request,
      service: 'service-0',
      caller: 'caller',
      method: 'GET',
      fingerprint: 'fingerprint',
    },
    context,
  ).find((effect) => effect.kind === 'sendAttempt');
  if (sent?.kind !== 'sendAttempt') throw new Error('the request was not sent to a target');
  const { attempt } = sent;
  const later = { now: now + 1, random: () => 0.5 };
  reduce(state, { kind: 'attemptAnswered', attempt, status: 200 }, later);
  reduce(state, { kind: 'attemptEnded', attempt, end: 'complete', bodyReplayable: true }, later);
}

/** What driving targets costs a process. */
export function measureTargetDriving(): Slope[] {
  return [
    measureSlope(
      {
        role: 'targetDriving',
        what: 'decisions for one request',
        per: 'targets of the service driven here',
        unit: 'µs of processor',
      },
      TARGET_COUNTS,
      (targets) => {
        const settled = settle(targets);
        for (let i = 0; i < REQUESTS; i++) runOne(settled, 1_000_000 + i);
        return measureProcessor(REQUESTS, (index) => runOne(settled, 2_000_000 + index));
      },
    ),
    measureSlope(
      {
        role: 'targetDriving',
        what: 'state of the targets driven here, with their configuration',
        per: 'targets',
        unit: 'bytes of memory',
      },
      [1_000, 2_000, 4_000, 8_000],
      (targets) => measureMemory(() => settle(targets).state),
    ),
  ];
}
