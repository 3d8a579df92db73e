import { VirtualClock } from '../proof/VirtualClock.js';
import type { LabArrival } from './LabCallers.js';
import type { LabPlan } from './LabPlan.js';
import type { LabRecord } from './LabRecord.js';
import { LabTarget } from './LabTarget.js';

/** Spells begin and end unannounced, so that waiting requests are looked at so often, in ms. */
const LOOK_MS = 5;

interface Waiting {
  readonly record: LabRecord;
  readonly workMs: number;
}

/** Picks the target on which work takes least; of two alike the emptier one. */
function findBest(targets: readonly LabTarget[]): LabTarget | undefined {
  let best: LabTarget | undefined;
  for (const target of targets) {
    if (target.running >= target.plan.slots) continue;
    const isBetter =
      best === undefined ||
      target.factor < best.factor ||
      (target.factor === best.factor && target.running < best.running);
    if (isBetter) best = target;
  }
  return best;
}

/**
 * Plays arrivals with one scheduler that knows every slot, every spell and the work of each request
 * that has come, at once, but not the future. It serves those first that can still be in time, the
 * newest of them first, where work is not slowed down; late ones get what is left.
 * @param plan - What is played.
 * @param arrivals - The same as for the product.
 * @param random - Uniform in [0, 1).
 * @returns What became of the requests.
 */
export function playCeiling(
  plan: LabPlan,
  arrivals: readonly LabArrival[],
  random: () => number,
): LabRecord[] {
  const clock = new VirtualClock();
  const records: LabRecord[] = [];
  const targets = new Map(
    plan.targets.map((each) => [
      each.service,
      Array.from({ length: each.count }, () => new LabTarget(each, clock, random)),
    ]),
  );
  const queues = new Map(plan.targets.map(({ service }) => [service, [] as Waiting[]]));

  const look = (service: string): void => {
    const queue = queues.get(service) ?? [];
    const pool = targets.get(service) ?? [];
    const now = clock.now();
    for (let i = queue.length - 1; i >= 0; i--) {
      const { record, workMs } = queue[i];
      const { objectiveMs, allowedMs } = record.route;
      const best = findBest(pool);
      if (best === undefined) return;
      const isLate = now + workMs > record.askedAt + objectiveMs;
      const isInTime = now + workMs * best.factor <= record.askedAt + objectiveMs;
      const isLone = queue.length <= pool.length;
      const mayGo = isLate ? best.factor <= 1 && isLone : isInTime && (best.factor <= 1 || isLone);
      if (now > record.askedAt + allowedMs) queue.splice(i, 1);
      else if (mayGo) {
        queue.splice(i, 1);
        const onEnd = (): void => {
          record.answeredAt = clock.now();
          look(service);
        };
        best.take({ workMs, onRun: () => {}, onEnd });
      }
    }
  };

  for (const { at, route, workMs } of arrivals) {
    clock.after(at, () => {
      const record: LabRecord = { route, askedAt: at, refusals: 0, runs: 1, heldMs: 0 };
      records.push(record);
      queues.get(route.service)?.push({ record, workMs });
      look(route.service);
    });
  }
  const endsAt = plan.untilMs + Math.max(...plan.routes.map(({ allowedMs }) => allowedMs));
  for (let at = 0; at < endsAt; at += LOOK_MS) {
    clock.after(at, () => plan.targets.forEach(({ service }) => look(service)));
  }
  clock.runUntil(endsAt + 1);
  return records;
}
