import { createRandom } from '../../standIns/models/index.js';
import type { FaultName } from './faults.js';
import { FAULT_NAMES } from './faults.js';
import type { MatrixCase, Strike, StrikePoint } from './runCase.js';
import { runCase } from './runCase.js';

/** How often each step's points are reached in a life without faults. */
export type Reached = ReadonlyMap<string, number>;

/** What a matrix covers. */
export interface MatrixPlan {
  readonly seed: number;
  /** Pairs of faults to try, drawn from all that are possible. */
  readonly pairs: number;
  /** Only every so manyth of the single faults; 1 tries all. */
  readonly every: number;
}

const FEWEST_MACHINES = 3;
const MOST_MACHINES = 5;

/**
 * Lives a fleet's life without faults and notes which steps it comes through.
 * @param seed - For all random choices.
 * @param machines - Size of the fleet.
 */
export function recordSteps(seed: number, machines: number): Reached {
  return runCase({ seed, machines, strikes: [], timed: [] }).reached;
}

/** Steps and points at which a fault can strike, in order. */
function listPoints(reached: Reached): { step: string; point: StrikePoint; count: number }[] {
  return [...reached].flatMap(([name, count]) => {
    const [step = '', reachedPoint = ''] = name.split('|');
    const points: StrikePoint[] = [reachedPoint as StrikePoint];
    if (reachedPoint === 'afterEffect') points.push('duringPause');
    return points.map((point) => ({ step, point, count }));
  });
}

function drawStrike(reached: Reached, fault: FaultName, random: () => number): Strike {
  const points = listPoints(reached);
  const chosen = points[Math.floor(random() * points.length)] ?? points[0];
  if (chosen === undefined) throw new RangeError('a life without any step was recorded');
  const { step, point, count } = chosen;
  return { fault, step, point, occurrence: 1 + Math.floor(random() * count) };
}

function drawFault(random: () => number): FaultName {
  return FAULT_NAMES[Math.floor(random() * FAULT_NAMES.length)] ?? 'short pause';
}

/**
 * Lists a matrix's cases: every fault at every point of every step, at one of the times that the
 * step is reached, and pairs of faults.
 * @param plan - What the matrix covers.
 * @example
 * const cases = planMatrix({ seed: 1, pairs: 200, every: 1 });
 */
export function planMatrix(plan: MatrixPlan): MatrixCase[] {
  const random = createRandom(plan.seed);
  const reached = new Map<number, Reached>();
  for (let machines = FEWEST_MACHINES; machines <= MOST_MACHINES; machines++) {
    reached.set(machines, recordSteps(plan.seed, machines));
  }
  const getReached = (machines: number): Reached => reached.get(machines) ?? new Map();
  const pickMachines = () =>
    FEWEST_MACHINES + Math.floor(random() * (MOST_MACHINES - FEWEST_MACHINES + 1));
  const { seed } = plan;
  const singles = listPoints(getReached(MOST_MACHINES)).flatMap(({ step, point }) =>
    FAULT_NAMES.map((fault): MatrixCase => {
      const machines = pickMachines();
      const recorded = point === 'duringPause' ? 'afterEffect' : point;
      const count = getReached(machines).get(`${step}|${recorded}`) ?? 1;
      const occurrence = 1 + Math.floor(random() * count);
      return { seed, machines, strikes: [{ fault, step, point, occurrence }], timed: [] };
    }),
  );
  const pairs = Array.from({ length: plan.pairs }, (): MatrixCase => {
    const machines = pickMachines();
    const draw = () => drawStrike(getReached(machines), drawFault(random), random);
    return { seed, machines, strikes: [draw(), draw()], timed: [] };
  });
  return [...singles.filter((_, i) => i % plan.every === 0), ...pairs];
}
