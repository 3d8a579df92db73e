import type { LabPlan, OrganisationsPlan, RoutePlan } from './LabPlan.js';
import { makePlan, makeRoute, makeTargets } from './LabPlan.js';

/** Slowdowns of the targets in deployments with zones: 4 times in 30 % of their 300 ms spells. */
const TARGETS = { slots: 4, spellShare: 0.3 };

/** Rate of all routes together in the deployment with organisations, in requests per second. */
const ORGANISATIONS_PER_SECOND = 850;

/** Shares the usual rate between the routes of the deployment with organisations. */
function route(
  service: string,
  name: string,
  share: number,
  changes: Partial<RoutePlan>,
): RoutePlan {
  const perSecond = ORGANISATIONS_PER_SECOND * share;
  return makeRoute(service, { name, perSecond, retries: 1, ...changes });
}

const ROUTES: readonly RoutePlan[] = [
  route('billing', 'account-charge', 0.05, {
    priority: 0,
    isIdempotent: false,
    workMs: 95,
    objectiveMs: 254,
    allowedMs: 1_016,
    timeoutMs: 1_016,
    worth: 2,
    lateWorth: 0.04,
  }),
  route('trading', 'stock-check', 0.48, {
    priority: 1,
    workMs: 119,
    objectiveMs: 308,
    allowedMs: 1_231,
    timeoutMs: 1_231,
    worth: 1.1,
    lateWorth: 0.1,
  }),
  route('trading', 'trade-order', 0.21, {
    priority: 1,
    isIdempotent: false,
    workMs: 159,
    objectiveMs: 404,
    allowedMs: 1_213,
    timeoutMs: 1_213,
    worth: 2.1,
    lateWorth: 0.1,
  }),
  route('billing', 'price-sync', 0.25, {
    priority: 2,
    workMs: 298,
    objectiveMs: 1_503,
    allowedMs: 2_004,
    timeoutMs: 2_004,
    worth: 0.53,
    lateWorth: 0.15,
  }),
];

/**
 * Organisations of the first deployment; the largest sends 8 times its usual rate for a while.
 * The bursts are assumptions.
 */
const ORGANISATIONS: OrganisationsPlan = {
  count: 73,
  exponent: 1.2,
  limitFactor: 1.6,
  burstSeconds: 1,
  minBurst: 10,
  surges: [{ rank: 0, factor: 8, fromMs: 4_000, untilMs: 10_000 }],
  bound: { windowMs: 5_000, overage: 0.1, slack: 20 },
};

/** Plans with demand that differs between zones or organisations. */
export const DEMAND_PLANS: Readonly<Record<string, LabPlan>> = {
  /** Demand that swings by 55 % in four zones, which peak one after the other. */
  waves: makePlan({
    vms: 224,
    targets: [
      makeTargets('lookup', { ...TARGETS, count: 142 }),
      makeTargets('quote', { ...TARGETS, count: 36 }),
    ],
    routes: [
      makeRoute('lookup', { perSecond: 700, workMs: 340, objectiveMs: 850, retries: 1 }),
      makeRoute('quote', { perSecond: 200, workMs: 305, objectiveMs: 760, retries: 1 }),
    ],
    surges: [],
    untilMs: 20_000,
    oneWayDelayMs: 0.25,
    zones: {
      count: 4,
      betweenDelayMs: 0.5,
      wave: { swing: 0.55, periodMs: 15_000, phases: [0.1, 0.18, 0.26, 0.34] },
    },
  }),
  /** 73 organisations with limits, one of which sends 8 times its usual rate. */
  organisations: makePlan({
    vms: 98,
    targets: [
      makeTargets('billing', { ...TARGETS, count: 92 }),
      makeTargets('trading', { ...TARGETS, count: 82 }),
    ],
    routes: ROUTES,
    surges: [],
    untilMs: 13_000,
    oneWayDelayMs: 0.25,
    zones: { count: 3, betweenDelayMs: 0.5 },
    organisations: ORGANISATIONS,
  }),
};
