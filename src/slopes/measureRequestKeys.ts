import type { Effect, StoreOp } from '../core/index.js';
import { VirtualCallers } from '../proof/VirtualCallers.js';
import { fitLine } from './fitLine.js';
import { getStoredBytes } from './meters.js';
import { createIdleFleet } from './runIdleFleet.js';
import type { Slope, SlopeName } from './Slope.js';

const RATES_PER_SECOND = [10, 40, 160] as const;
const SETTLE_MS = 6_000;
const MEASURED_MS = 10_000;
const SECOND_MS = 1_000;
const SERVICE = 'service-0';

interface KeyCosts {
  readonly writesPerSecond: number;
  readonly storedBytes: number;
  readonly keys: number;
}

function isKeyWrite(op: StoreOp): boolean {
  return op.op === 'put' && op.key.startsWith('keys/');
}

/** Sends requests with a key each at a steady rate and counts what recording them takes. */
function runKeyed(ratePerSecond: number): KeyCosts {
  let writes = 0;
  const count = (effect: Effect): void => {
    if (effect.kind === 'callStore' && isKeyWrite(effect.op)) writes += 1;
  };
  const size = { members: 5, services: 1, targetsPerService: 20, zones: 1 };
  const fleet = createIdleFleet(size, count);
  const callers = new VirtualCallers(fleet);
  fleet.start();
  fleet.clock.runUntil(SETTLE_MS);
  writes = 0;
  const keys = (ratePerSecond * MEASURED_MS) / SECOND_MS;
  const answered = new Set<string>();
  for (let i = 0; i < keys; i++) {
    fleet.clock.after((i * SECOND_MS) / ratePerSecond, () => {
      callers.send(
        {
          uid: `request-${i}`,
          service: SERVICE,
          caller: 'box-office',
          method: 'POST',
          fingerprint: `fingerprint-${String(i).padStart(20, '0')}`,
          key: `request-key-${String(i).padStart(24, '0')}`,
          serviceMs: 20,
        },
        (answer) => {
          if (answer.kind === 'answered') answered.add(answer.ofUid);
        },
      );
    });
  }
  fleet.clock.runUntil(SETTLE_MS + MEASURED_MS + SECOND_MS);
  if (answered.size < keys) throw new Error(`only ${answered.size} of ${keys} requests ran`);
  return {
    writesPerSecond: (writes * SECOND_MS) / MEASURED_MS,
    storedBytes: getStoredBytes(fleet.store.peekAll('keys/')),
    keys,
  };
}

function toSlope(name: Omit<SlopeName, 'role'>, points: Slope['points']): Slope {
  return { role: 'requestKeys', ...name, points, line: fitLine(points) };
}

/** What recording request keys costs the store. */
export function measureRequestKeys(): Slope[] {
  const runs = RATES_PER_SECOND.map((rate) => ({ rate, costs: runKeyed(rate) }));
  return [
    toSlope(
      { what: 'writes of the whole fleet', per: 'keyed requests a second', unit: 'calls/s' },
      runs.map(({ rate, costs }) => ({ size: rate, cost: costs.writesPerSecond })),
    ),
    toSlope(
      { what: 'what is kept', per: 'request keys', unit: 'bytes stored' },
      runs.map(({ costs }) => ({ size: costs.keys, cost: costs.storedBytes })),
    ),
  ];
}
