import { planPublication } from '../publish/index.js';
import { measureProcessor } from './meters.js';
import { makeSizedConfiguration } from './sizedFleet.js';
import type { Slope } from './Slope.js';
import { measureSlope } from './Slope.js';

const SERVICE_COUNTS = [100, 400, 1_300] as const;
const TARGETS_PER_SERVICE = 5;
const ZONES = 7;
const PLANS = 3;

/** What the publishing step costs, without reading files and without calls. */
export function measurePublishing(): Slope[] {
  return [
    measureSlope(
      {
        role: 'publishing',
        what: 'hashing all descriptions and planning a publication',
        per: 'services of 5 targets',
        unit: 'µs of processor',
      },
      SERVICE_COUNTS,
      (services) => {
        const size = { services, targetsPerService: TARGETS_PER_SERVICE, zones: ZONES };
        const { root, services: objects } = makeSizedConfiguration(size, 1);
        const desired = { zones: root.zones, services: objects.map(({ service }) => service) };
        return measureProcessor(PLANS, () => {
          planPublication(root, desired);
        });
      },
    ),
  ];
}
