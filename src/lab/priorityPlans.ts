import type { LabPlan, OrganisationsPlan, RoutePlan } from './LabPlan.js';
import { makePlan, makeRoute, makeTargets } from './LabPlan.js';

/** Requests a second of a service's two routes in usual operation, with 98 VMs and 82 targets. */
const URGENT_PER_SECOND = 42;
const PATIENT_PER_SECOND = 212;

/** Multiple of the usual rates with which the targets' capacity is just used up. */
const CAPACITY_FACTOR = 2.3;

const SERVICE = 'ledger';

/** A few organisations far below their limits: requests have priorities only where there are any. */
const ORGANISATIONS: OrganisationsPlan = {
  count: 4,
  exponent: 0,
  limitFactor: 100,
  burstSeconds: 10,
  minBurst: 10,
  surges: [],
  bound: { windowMs: 5_000, overage: 0.1, slack: 20 },
};

/** Multiples of the usual rates of a service's routes. */
export interface PriorityLoad {
  readonly urgent?: number;
  readonly patient?: number;
}

/** An urgent short route and a patient long one on the same service, the more urgent one first. */
function makeRoutes({ urgent = 1, patient = 1 }: PriorityLoad): RoutePlan[] {
  return [
    makeRoute(SERVICE, {
      name: 'charge',
      perSecond: URGENT_PER_SECOND * urgent,
      workMs: 95,
      objectiveMs: 254,
      allowedMs: 1_016,
      timeoutMs: 1_016,
      isIdempotent: false,
      worth: 2,
      lateWorth: 0.04,
      retries: 1,
    }),
    makeRoute(SERVICE, {
      name: 'sync',
      perSecond: PATIENT_PER_SECOND * patient,
      workMs: 298,
      objectiveMs: 1_503,
      allowedMs: 2_004,
      timeoutMs: 2_004,
      worth: 0.53,
      lateWorth: 0.15,
      retries: 1,
    }),
  ];
}

/**
 * Makes a deployment in which a more urgent route shares its service with a patient one.
 * @param load - Multiples of the routes' usual rates.
 * @param changes - Overrides of the defaults.
 */
export function makePriorityPlan(load: PriorityLoad, changes: Partial<LabPlan> = {}): LabPlan {
  return makePlan({
    vms: 98,
    targets: [makeTargets(SERVICE, { count: 82, slots: 4, queue: 8, spellShare: 0.3 })],
    routes: makeRoutes(load),
    surges: [],
    organisations: ORGANISATIONS,
    untilMs: 12_000,
    ...changes,
  });
}

function makeOverload(factor: number): PriorityLoad {
  const ofUsual = factor * CAPACITY_FACTOR;
  return { urgent: ofUsual, patient: ofUsual };
}

/** Plans with routes of different priority on one service; none models a real deployment. */
export const PRIORITY_PLANS: Readonly<Record<string, LabPlan>> = {
  usualLoad: makePriorityPlan({}),
  /** The patient route sends 2.5 times its usual requests, close to what the targets can do. */
  patientSurge: makePriorityPlan({ patient: 2.5 }),
  overload13: makePriorityPlan(makeOverload(1.3), { untilMs: 8_000 }),
  overload2: makePriorityPlan(makeOverload(2), { untilMs: 8_000 }),
  /** Beyond the targets' capacity for two seconds. */
  shortOverload: makePriorityPlan({}, { surges: [{ fromMs: 4_000, untilMs: 6_000, factor: 4.5 }] }),
};
