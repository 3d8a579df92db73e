import { createRandom } from '../standIns/models/index.js';
import type { RetryFleet } from './retryFleets.js';
import type { SoakCallers } from './SoakCallers.js';
import type { SoakWorld } from './SoakWorld.js';

/** Kinds and rate of the requests to a fleet. */
export interface FleetTraffic {
  readonly fleet: RetryFleet;
  readonly requestsPerSecond: number;
}

/**
 * Sends requests of all kinds to running gateways until the returned function is called.
 * @param world - The gateways.
 * @param callers - Send and record the requests.
 * @param traffic - Kinds and rate of the requests.
 * @example
 * const stop = startFleetTraffic(world, callers, { fleet: FLEET_OF_15, requestsPerSecond: 60 });
 */
export function startFleetTraffic(
  world: SoakWorld,
  callers: SoakCallers,
  { fleet, requestsPerSecond }: FleetTraffic,
): () => void {
  const random = createRandom(2);
  const total = fleet.traffic.reduce((sum, { weight }) => sum + weight, 0);
  const send = (): void => {
    const running = world.gateways.filter(({ isRunning }) => isRunning);
    const gateway = running[Math.floor(random() * running.length)];
    let rest = random() * total;
    const kind = fleet.traffic.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    });
    if (gateway === undefined || kind === undefined) return;
    const { route, hasOwnConnection, timeoutMs } = kind;
    const options = { hasOwnConnection, timeoutMs, route: route.name };
    const { callers: port } = gateway.options.ports;
    callers.send(port, `/${route.name}/x`, route.isIdempotent, undefined, options);
  };
  const timer = setInterval(send, 1_000 / requestsPerSecond);
  return () => clearInterval(timer);
}
