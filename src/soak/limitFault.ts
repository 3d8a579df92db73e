import type { Fault } from './faults.js';

/** Header values that targets advertise as limits; gateways ignore values that are not valid numbers. */
const LIMIT_VALUES = ['0.4', '1.3', '6', '20', '-1', 'abc', '6, 1.3'];

/** Allowed requests per second of each valid value; undefined for the others. */
const RATES_PER_SECOND: Readonly<Record<string, number | undefined>> = {
  0.4: 0.4,
  1.3: 1.3,
  6: 6,
  20: 20,
  '6, 1.3': 1.3,
};

const MIN_DURATION_MS = 6_000;
const MAX_DURATION_MS = 12_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Makes one target, or all of them, advertise a limit for a while. */
export const nameLimit: Fault = async ({ world, random }) => {
  const named = LIMIT_VALUES[Math.floor(random() * LIMIT_VALUES.length)];
  const ms = MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
  const index = Math.floor(random() * world.targets.length * 2);
  const chosen = index < world.targets.length ? [world.targets[index]] : [...world.targets];
  const set = (limit: string | undefined, perSecond: number | undefined): void => {
    for (const { model, entry } of chosen) {
      model.limit = limit;
      world.namings.push({ target: entry.id, perSecond, at: Date.now() });
    }
  };
  set(named, RATES_PER_SECOND[named]);
  await wait(ms);
  set(undefined, undefined);
};
