import { VirtualClock } from '../proof/VirtualClock.js';
import type { LabArrival } from './LabCallers.js';
import type { LabPlan } from './LabPlan.js';
import type { LabRecord } from './LabRecord.js';
import { LabTarget } from './LabTarget.js';

/** Interval at which queues are checked, in ms, as spells start and end without an event. */
const POLL_INTERVAL_MS = 5;

interface QueuedRequest {
  readonly record: LabRecord;
  readonly workMs: number;
}

/** Picks the free target with the lowest slowdown; ties go to the one with fewer running requests. */
function findFastestTarget(targets: readonly LabTarget[]): LabTarget | undefined {
  let best: LabTarget | undefined;
  for (const target of targets) {
    if (target.running >= target.plan.slots) continue;
    const isBetter =
      best === undefined ||
      target.serviceTimeFactor < best.serviceTimeFactor ||
      (target.serviceTimeFactor === best.serviceTimeFactor && target.running < best.running);
    if (isBetter) best = target;
  }
  return best;
}

/**
 * Simulates one scheduler that knows the state of every slot and spell and the work of every request
 * that has arrived, without delay, but not the future. It checks the newest requests first and starts
 * those that can meet their objective, on a slowed-down target only while the queue is short. Requests
 * that can't meet it start only on a target without slowdown and while the queue is short.
 * @param plan - Deployment and load to simulate.
 * @param arrivals - The same arrivals as for the production logic.
 * @param random - Returns a uniform number in [0, 1).
 * @returns Outcomes of the requests.
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
  const queues = new Map(plan.targets.map(({ service }) => [service, [] as QueuedRequest[]]));

  const startQueued = (service: string): void => {
    const queue = queues.get(service) ?? [];
    const pool = targets.get(service) ?? [];
    const now = clock.now();
    for (let i = queue.length - 1; i >= 0; i--) {
      const { record, workMs } = queue[i];
      const { objectiveMs, allowedMs } = record.route;
      const best = findFastestTarget(pool);
      if (best === undefined) return;
      const isObjectiveMissed = now + workMs > record.askedAt + objectiveMs;
      const isInTime = now + workMs * best.serviceTimeFactor <= record.askedAt + objectiveMs;
      const isQueueShort = queue.length <= pool.length;
      const canStart = isObjectiveMissed
        ? best.serviceTimeFactor <= 1 && isQueueShort
        : isInTime && (best.serviceTimeFactor <= 1 || isQueueShort);
      if (now > record.askedAt + allowedMs) queue.splice(i, 1);
      else if (canStart) {
        queue.splice(i, 1);
        const onEnd = (): void => {
          record.answeredAt = clock.now();
          startQueued(service);
        };
        best.acceptRequest({ workMs, onRun: () => {}, onEnd });
      }
    }
  };

  for (const { at, route, workMs } of arrivals) {
    clock.after(at, () => {
      const record: LabRecord = { route, askedAt: at, refusals: 0, runs: 1, heldMs: 0 };
      records.push(record);
      queues.get(route.service)?.push({ record, workMs });
      startQueued(route.service);
    });
  }
  const endsAt = plan.untilMs + Math.max(...plan.routes.map(({ allowedMs }) => allowedMs));
  for (let at = 0; at < endsAt; at += POLL_INTERVAL_MS) {
    clock.after(at, () => plan.targets.forEach(({ service }) => startQueued(service)));
  }
  clock.runUntil(endsAt + 1);
  return records;
}
