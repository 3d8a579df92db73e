import type { LabPlan } from '../../lab/LabPlan.js';
import { makePlan, makeRoute, makeTargets } from '../../lab/LabPlan.js';
import { getOverallScore } from '../../lab/LabRecord.js';
import { playLab } from '../../lab/playLab.js';

/**
 * Prints score, worth, late answers, bytes between zones and probes of a deployment of half the size
 * of the emulator's plan `waves`, over one period and with less load, five seeds each.
 */
const SEEDS = [7, 14, 21, 28, 35];
const TARGETS = { slots: 4, spellShare: 0.3 };

function makeHalf(load: number, swing: number): LabPlan {
  return makePlan({
    vms: 112,
    targets: [
      makeTargets('lookup', { ...TARGETS, count: 72 }),
      makeTargets('quote', { ...TARGETS, count: 36 }),
    ],
    routes: [
      makeRoute('lookup', { perSecond: 350 * load, workMs: 420, objectiveMs: 1_050, retries: 1 }),
      makeRoute('quote', { perSecond: 200 * load, workMs: 375, objectiveMs: 940, retries: 1 }),
    ],
    surges: [],
    untilMs: 15_000,
    oneWayDelayMs: 0.25,
    zones: {
      count: 4,
      betweenDelayMs: 0.5,
      wave: { swing, periodMs: 15_000, phases: [0.1, 0.18, 0.26, 0.34] },
    },
  });
}

const PLANS: Readonly<Record<string, LabPlan>> = {
  'wave, load 0.9': makeHalf(0.9, 0.55),
  'wave, load 0.7': makeHalf(0.7, 0.55),
  'even, load 0.95': makeHalf(0.95, 0),
};

for (const [name, plan] of Object.entries(PLANS)) {
  const results = SEEDS.map((seed) => playLab(plan, seed));
  const mean = (get: (result: (typeof results)[number]) => number): string =>
    (results.reduce((sum, result) => sum + get(result), 0) / results.length).toFixed(3);
  console.log(
    `${name}: score ${mean(({ score }) => getOverallScore(score))}, ` +
      `worth ${mean(({ score }) => score.payoff)}, late ${mean(({ score }) => score.late)}, ` +
      `${mean(({ zoneBytes }) => zoneBytes)} bytes between zones, ${mean(({ probes }) => probes)} ` +
      'probes a request',
  );
}
