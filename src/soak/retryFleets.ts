import type { RetryLimit } from './retryWindows.js';
import { RETRY_LIMIT } from './SoakGateway.js';
import type { SoakRoute } from './soakRoutes.js';
import { SERVICE } from './soakRoutes.js';
import type { SoakService } from './SoakWorld.js';
import { createSoakService } from './SoakWorld.js';

/** Requests of a kind that the callers of a fleet send. */
export interface RetryTraffic {
  readonly route: SoakRoute;
  /** Share of all requests, relative to the other kinds. */
  readonly weight: number;
  /** Whether each request has a connection of its own. */
  readonly hasOwnConnection: boolean;
  /** How long its callers wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
}

/** Gateways, services and requests of a retry trial. */
export interface RetryFleet {
  readonly gateways: number;
  readonly services: readonly SoakService[];
  readonly traffic: readonly RetryTraffic[];
  readonly limit: RetryLimit;
}

function createRoute(
  name: string,
  service: string,
  objectiveMs: number,
  timeoutMs: number,
  isIdempotent = true,
): SoakRoute {
  return { name, isIdempotent, services: [{ service, weight: 1 }], objectiveMs, timeoutMs };
}

/** Six gateways and one service. */
export const SMALL_FLEET: RetryFleet = {
  gateways: 6,
  services: [createSoakService(16)],
  traffic: [
    {
      route: createRoute('read', SERVICE, 300, 1_500),
      weight: 1,
      hasOwnConnection: false,
      timeoutMs: 3_000,
    },
  ],
  limit: RETRY_LIMIT,
};

/** Fifteen gateways and three services with few slots; a route has targets in all three. */
export const FLEET_OF_15: RetryFleet = {
  gateways: 15,
  services: [
    { name: 'lookup', targets: 12, slots: 2, workMs: 220 },
    { name: 'booking', targets: 6, slots: 2, workMs: 290 },
    { name: 'report', targets: 10, slots: 2, workMs: 550 },
  ],
  traffic: [
    {
      route: createRoute('lookup', 'lookup', 600, 2_000),
      weight: 5.5,
      hasOwnConnection: false,
      timeoutMs: 4_000,
    },
    {
      route: createRoute('book', 'booking', 800, 2_500, false),
      weight: 1.7,
      hasOwnConnection: false,
      timeoutMs: 5_000,
    },
    {
      route: createRoute('report', 'report', 1_500, 5_000),
      weight: 1.7,
      hasOwnConnection: true,
      timeoutMs: 10_000,
    },
    {
      route: createRoute('cancel', 'report', 500, 1_500, false),
      weight: 0.58,
      hasOwnConnection: true,
      timeoutMs: 3_000,
    },
  ],
  limit: { ratio: 0.2, slack: 58, windowMs: 10_000 },
};

/** Nineteen gateways and three services with many slots; a route has targets in all three. */
export const FLEET_OF_19: RetryFleet = {
  gateways: 19,
  services: [
    { name: 'price', targets: 14, slots: 6, workMs: 160 },
    { name: 'order', targets: 8, slots: 6, workMs: 210 },
    { name: 'ledger', targets: 14, slots: 6, workMs: 400 },
  ],
  traffic: [
    {
      route: createRoute('price', 'price', 400, 1_500),
      weight: 5,
      hasOwnConnection: false,
      timeoutMs: 3_000,
    },
    {
      route: createRoute('order', 'order', 500, 2_000, false),
      weight: 2.3,
      hasOwnConnection: false,
      timeoutMs: 4_000,
    },
    {
      route: createRoute('ledger', 'ledger', 1_000, 4_000),
      weight: 1.8,
      hasOwnConnection: true,
      timeoutMs: 8_000,
    },
    {
      route: createRoute('receipt', 'ledger', 400, 1_200, false),
      weight: 0.52,
      hasOwnConnection: true,
      timeoutMs: 2_500,
    },
  ],
  limit: { ratio: 0.2, slack: 64, windowMs: 10_000 },
};
