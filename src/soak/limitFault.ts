import type { Fault } from './faults.js';

/** Limits that targets name, as they write them; gateways take those for none that are no number. */
const NAMED = ['0.4', '1.3', '6', '20', '-1', 'abc', '6, 1.3'];

/** Requests a second that each of them allows; undefined if it says nothing. */
const MEANT: Readonly<Record<string, number | undefined>> = {
  0.4: 0.4,
  1.3: 1.3,
  6: 6,
  20: 20,
  '6, 1.3': 1.3,
};

const LEAST_MS = 6_000;
const MOST_MS = 12_000;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Has one target, or all that there are, name a limit for a while. */
export const nameLimit: Fault = async ({ world, random }) => {
  const named = NAMED[Math.floor(random() * NAMED.length)];
  const ms = LEAST_MS + random() * (MOST_MS - LEAST_MS);
  const index = Math.floor(random() * world.targets.length * 2);
  const chosen = index < world.targets.length ? [world.targets[index]] : [...world.targets];
  const set = (limit: string | undefined, perSecond: number | undefined): void => {
    for (const { model, entry } of chosen) {
      model.limit = limit;
      world.namings.push({ target: entry.id, perSecond, at: Date.now() });
    }
  };
  set(named, MEANT[named]);
  await wait(ms);
  set(undefined, undefined);
};
