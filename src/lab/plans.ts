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

/** Targets that name the requests a second which they take from all VMs together. */
export const LIMIT_PLANS: Readonly<Record<string, LabPlan>> = {
  /** Others of their service bear the rest of the load. */
  someLimited: makePlan({ ...LIMITED, limiting: [limit(2, 1.3)] }),
  /** Nowhere else to go. */
  allLimited: makePlan({ ...LIMITED, limiting: [limit(9, 6)] }),
  limitsFall: makePlan({
    ...LIMITED,
    limiting: [limit(2, 8, { untilMs: LIMITS_FALL_MS }), limit(2, 1.3, { fromMs: LIMITS_FALL_MS })],
  }),
  limitsEnd: makePlan({ ...LIMITED, limiting: [limit(2, 1.3, { untilMs: LIMITS_FALL_MS })] }),
  /** VMs that issue permits among those that die and come back; others differ on who is up. */
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
  /** Half of their answers name the limit. */
  limitsNamedAtTimes: makePlan({ ...LIMITED, limiting: [limit(2, 1.3, { share: 0.5 })] }),
};

/** Deployments and loads that differ in what binds. None is that of a user. */
export const LAB_PLANS: Readonly<Record<string, LabPlan>> = {
  /** Targets bear the load at ease. */
  calm: makePlan({ surges: [], untilMs: 8_000 }),
  /** As much as targets bear if each slot is used at once. */
  surge: makePlan({ surges: surge(1.6) }),
  /** More than they bear. */
  flood: makePlan({ surges: surge(2) }),
  shortSurge: makePlan({ surges: [{ fromMs: SURGE_FROM_MS, untilMs: 7_000, factor: 1.8 }] }),
  /** All targets reject half of what they get, whatever their load. */
  rejecting: makePlan({
    surges: [],
    rejecting: [{ service: 'lookup', fromMs: SURGE_FROM_MS, untilMs: SURGE_UNTIL_MS, share: 0.55 }],
  }),
  /** Targets with two slots, of which the second is slow. */
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
  /** Targets that slow down from half of their slots on, with long and mild spells. */
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
  /** The surge on one VM, which knows all that is sent. */
  oneVm: makePlan({ vms: 1, surges: surge(1.6) }),
};
