import type { TargetBehaviour } from '../platform/standIn/index.js';
import type { Fault } from './faults.js';
import { FAULTS } from './faults.js';

/** Ways in which all targets fail, so that each request is worth a retry. */
const FAILURES: readonly TargetBehaviour[] = ['cuts', 'sheds', 'fails'];

/** Gateways that are killed or stopped while the targets fail. */
const RESTARTS = 4;

/** Range of the time between two of them, in milliseconds. */
const MIN_GAP_MS = 300;
const GAP_SPREAD_MS = 900;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Lets all targets fail while gateways are killed or stopped and started again, one after another. */
export const failWhileRestarting: Fault = async (context) => {
  const { world, random } = context;
  const behaviour = FAILURES[Math.floor(random() * FAILURES.length)];
  const failing = [...world.targets];
  for (const { model } of failing) model.behaviour = behaviour;
  const restarts: Promise<void>[] = [];
  for (let i = 0; i < RESTARTS; i++) {
    await wait(MIN_GAP_MS + random() * GAP_SPREAD_MS);
    const fault = random() < 0.5 ? FAULTS.gatewayKilled : FAULTS.gatewayStopped;
    restarts.push(fault(context));
  }
  await wait(MIN_GAP_MS + random() * GAP_SPREAD_MS);
  for (const { model } of failing) model.behaviour = model.usualBehaviour;
  await Promise.all(restarts);
};
