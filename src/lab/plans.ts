import type { LabPlan } from './LabPlan.js';
import { makePlan, makeRoute, makeTargets } from './LabPlan.js';

const SURGE_FROM_MS = 4_000;
const SURGE_UNTIL_MS = 10_000;

function surge(factor: number): LabPlan['surges'] {
  return [{ fromMs: SURGE_FROM_MS, untilMs: SURGE_UNTIL_MS, factor }];
}

const LIMITED_FROM_MS = 4_000;
const LIMITED_UNTIL_MS = 26_000;
const LIMITS_FALL_MS = 13_000;

function limit(
  count: number,
  perSecond: number,
  changes: Partial<LabPlan['limiting'][number]> = {},
): LabPlan['limiting'][number] {
  return {
    service: 'lookup',
    count,
    perSecond,
    fromMs: LIMITED_FROM_MS,
    untilMs: LIMITED_UNTIL_MS,
    ...changes,
  };
}

const LIMITED = { surges: [], untilMs: 24_000 };

/** Plans with targets that advertise a limit in requests per second, shared by all VMs. */
export const LIMIT_PLANS: Readonly<Record<string, LabPlan>> = {
  /** The other targets of the service take the rest of the load. */
  someLimited: makePlan({ ...LIMITED, limiting: [limit(2, 1.3)] }),
  /** No target without a limit is left. */
  allLimited: makePlan({ ...LIMITED, limiting: [limit(9, 6)] }),
  limitsFall: makePlan({
    ...LIMITED,
    limiting: [limit(2, 8, { untilMs: LIMITS_FALL_MS }), limit(2, 1.3, { fromMs: LIMITS_FALL_MS })],
  }),
  limitsEnd: makePlan({ ...LIMITED, limiting: [limit(2, 1.3, { untilMs: LIMITS_FALL_MS })] }),
  /** Permit issuers are among the VMs that fail and restart; the others' views of live VMs differ. */
  allLimitedVmsDie: makePlan({
    ...LIMITED,
    vms: 6,
    limiting: [limit(9, 6)],
    down: [
      { vm: 0, fromMs: 9_000, untilMs: 13_000 },
      { vm: 1, fromMs: 11_000, untilMs: 16_000 },
      { vm: 2, fromMs: 17_000, untilMs: 18_000 },
    ],
  }),
  /** Half of the answers carry the limit. */
  limitsNamedAtTimes: makePlan({ ...LIMITED, limiting: [limit(2, 1.3, { share: 0.5 })] }),
};

const PAUSING_FROM_MS = 4_000;
const PAUSING_UNTIL_MS = 13_000;

function pause(
  count: number,
  changes: Partial<LabPlan['rejecting'][number]> = {},
): LabPlan['rejecting'][number] {
  return {
    service: 'lookup',
    count,
    fromMs: PAUSING_FROM_MS,
    untilMs: PAUSING_UNTIL_MS,
    share: 1,
    pauseMs: 3_000,
    ...changes,
  };
}

/** Rejections for `onMs` of every `everyMs`. */
function pauseInTurns(count: number, onMs: number, everyMs: number): LabPlan['rejecting'] {
  const turns = Math.floor((PAUSING_UNTIL_MS - PAUSING_FROM_MS) / everyMs);
  return Array.from({ length: turns }, (_, i) => {
    const fromMs = PAUSING_FROM_MS + i * everyMs;
    return pause(count, { fromMs, untilMs: fromMs + onMs });
  });
}

const PAUSED = { surges: [], untilMs: 16_000 };

/** Plans with targets that reject requests and ask for a pause. */
export const PAUSE_PLANS: Readonly<Record<string, LabPlan>> = {
  /** The other targets of the service take the rest of the load. */
  somePause: makePlan({ ...PAUSED, rejecting: [pause(3)] }),
  /** No target is left. */
  allPause: makePlan({ ...PAUSED, rejecting: [pause(9, { pauseMs: 1_000 })] }),
  allPauseBriefly: makePlan({ ...PAUSED, rejecting: [pause(9, { pauseMs: 200 })] }),
  /** The targets accept requests again long before the pauses end. */
  pauseInTurns: makePlan({ ...PAUSED, rejecting: pauseInTurns(9, 400, 1_200) }),
  /** A share of the requests is rejected whatever the load. */
  pauseAtTimes: makePlan({ ...PAUSED, rejecting: [pause(9, { share: 0.1, pauseMs: 1_000 })] }),
  fewVms: makePlan({ ...PAUSED, vms: 4, rejecting: [pause(3)] }),
};

/** Plans with targets whose answers state that they are shutting down, while the store does not. */
export const DRAIN_PLANS: Readonly<Record<string, LabPlan>> = {
  someDrain: makePlan({
    ...PAUSED,
    draining: [{ service: 'lookup', count: 3, fromMs: PAUSING_FROM_MS }],
  }),
  allDrain: makePlan({
    ...PAUSED,
    draining: [{ service: 'lookup', count: 9, fromMs: PAUSING_FROM_MS }],
  }),
};

/** Plans that differ in the limiting resource. None models a real deployment. */
export const LAB_PLANS: Readonly<Record<string, LabPlan>> = {
  /** Load well below the targets' capacity. */
  calm: makePlan({ surges: [], untilMs: 8_000 }),
  /** Load that the targets can serve only if no slot is ever idle. */
  surge: makePlan({ surges: surge(1.6) }),
  /** Load above the targets' capacity. */
  flood: makePlan({ surges: surge(2) }),
  shortSurge: makePlan({ surges: [{ fromMs: SURGE_FROM_MS, untilMs: 7_000, factor: 1.8 }] }),
  /** All targets reject 55 % of their requests, whatever their load. */
  rejecting: makePlan({
    surges: [],
    rejecting: [{ service: 'lookup', fromMs: SURGE_FROM_MS, untilMs: SURGE_UNTIL_MS, share: 0.55 }],
  }),
  /** Targets with two slots that slow down when both are busy. */
  twoSlots: makePlan({
    vms: 15,
    targets: [makeTargets('lookup', { slots: 2, count: 12, queue: 4 })],
    routes: [
      makeRoute('lookup', {
        perSecond: 40,
        workMs: 220,
        objectiveMs: 600,
        allowedMs: 4_000,
        timeoutMs: 2_000,
      }),
    ],
    surges: surge(1.8),
  }),
  /** Targets that slow down above half of their slots, with long and mild slow spells. */
  earlyKnee: makePlan({
    targets: [
      makeTargets('lookup', {
        count: 13,
        kneeShare: 0.5,
        kneeSlowdown: 2.2,
        spellShare: 0.3,
        spellSlowdown: 2,
        spellMs: 900,
      }),
    ],
    surges: surge(1.5),
  }),
  /** Targets that do not slow down with load. */
  noKnee: makePlan({
    targets: [makeTargets('lookup', { kneeShare: 1, kneeSlowdown: 1 })],
    surges: surge(2.2),
  }),
  /** The surge on a single VM, which sends all requests itself and so knows all load. */
  oneVm: makePlan({ vms: 1, surges: surge(1.6) }),
};
