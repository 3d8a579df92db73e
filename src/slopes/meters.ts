import process from 'node:process';

import { encode } from '@msgpack/msgpack';

const MICROSECONDS_PER_SECOND = 1_000_000;
/** Repetitions of which the cheapest counts: what other programs take must not be charged. */
const REPETITIONS = 5;

/**
 * Processor time of one action, in microseconds: the least of several runs.
 * @param actions - How often `action` is called in a run.
 * @param action - What is measured; it is given its number.
 */
export function measureProcessor(actions: number, action: (index: number) => void): number {
  let best = Number.POSITIVE_INFINITY;
  for (let repetition = 0; repetition < REPETITIONS; repetition++) {
    const before = process.cpuUsage();
    for (let i = 0; i < actions; i++) action(repetition * actions + i);
    const { user, system } = process.cpuUsage(before);
    best = Math.min(best, (user + system) / actions);
  }
  return best;
}

/**
 * Memory that a value keeps, in bytes. Needs Node.js started with `--expose-gc`.
 * @param make - Makes the value.
 * @throws Error if the garbage collector cannot be called.
 */
export function measureMemory(make: () => unknown): number {
  const { gc } = globalThis;
  if (gc === undefined) throw new Error('memory is measured with node --expose-gc');
  gc();
  const before = process.memoryUsage().heapUsed;
  const kept = make();
  gc();
  const after = process.memoryUsage().heapUsed;
  // Used after the measurement, so that it is not collected before.
  return kept === undefined ? 0 : after - before;
}

/**
 * Size of a message between entry VMs, in bytes, without the frame around it.
 * @param message - The message.
 */
export function getMessageBytes(message: unknown): number {
  return encode(message, { ignoreUndefined: true }).byteLength;
}

/**
 * Size of a stored value, in bytes.
 * @param value - The value; it is stored as JSON.
 */
export function getStoredBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/**
 * Turns processor time of one action into a share of a core.
 * @param microseconds - Processor time of one action.
 * @param perSecond - Actions a second.
 */
export function getCoreShare(microseconds: number, perSecond: number): number {
  return (microseconds * perSecond) / MICROSECONDS_PER_SECOND;
}
