import type { Fault } from './faults.js';
import { BUSY, ROTATING } from './SoakOrganisations.js';

/** Time until callers use a key after it was added, in milliseconds. */
const ADDED_MS = 3_000;

/** Time for which callers use a key before and after it is removed, in milliseconds. */
const USED_MS = 1_000;
const REMOVED_MS = 5_000;

/** Duration of a surge, in milliseconds; longer than the window in which quotas are counted. */
const MIN_SURGE_MS = 6_000;
const MAX_SURGE_MS = 9_000;

/** Requests per second of the organisation in a surge, about ten times its limit. */
const SURGE_PER_SECOND = 60;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Adds a key of an organisation, lets callers use it, and removes it while they still use it. */
export const changeKeys: Fault = async ({ world }) => {
  const { organisations } = world;
  if (organisations === undefined) return;
  const added = organisations.addKey(ROTATING);
  world.publishConfiguration();
  await wait(ADDED_MS);
  organisations.rotatingKeys.push(added.key);
  await wait(USED_MS);
  added.removedAt = Date.now();
  world.publishConfiguration();
  await wait(REMOVED_MS);
  organisations.rotatingKeys.splice(organisations.rotatingKeys.indexOf(added.key), 1);
};

/** Lets one organisation send many times its limit to all gateways. */
export const exceedQuota: Fault = async ({ world, callers, random }) => {
  if (world.organisations === undefined) return;
  const ms = MIN_SURGE_MS + random() * (MAX_SURGE_MS - MIN_SURGE_MS);
  const ports = world.gateways.map(({ options }) => options.ports.callers);
  let sent = 0;
  const timer = setInterval(() => {
    const identity = { apiKey: `key-of-${BUSY}`, claims: [], isExempt: false, mayBeRefused: true };
    callers.send(ports[sent % ports.length], '/read/x', true, undefined, { identity });
    sent += 1;
  }, 1_000 / SURGE_PER_SECOND);
  await wait(ms);
  clearInterval(timer);
};
