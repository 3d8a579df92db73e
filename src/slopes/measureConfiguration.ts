import { createEntryState, reduce } from '../core/index.js';
import { getMessageBytes, getStoredBytes, measureMemory, measureProcessor } from './meters.js';
import { makeSizedConfiguration, makeSizedSettings } from './sizedFleet.js';
import type { Slope, SlopeName } from './Slope.js';
import { measureSlope } from './Slope.js';

const SERVICE_COUNTS = [100, 400, 1_300] as const;
const TARGETS_PER_SERVICE = 5;
const ZONES = 7;
const CHANGES = 10;

function makeSize(services: number) {
  return { services, targetsPerService: TARGETS_PER_SERVICE, zones: ZONES };
}

function name(what: string, unit: SlopeName['unit']): SlopeName {
  return { role: 'configuration', what, per: 'services of 5 targets', unit };
}

/** Takes in a first configuration, then measures later ones that change one service each. */
function measureChange(services: number): number {
  const size = makeSize(services);
  const state = createEntryState(makeSizedSettings(), 0);
  const context = { now: 1, random: () => 0.5 };
  const first = makeSizedConfiguration(size, 1);
  reduce(state, { kind: 'configurationPushed', ...first }, context);
  return measureProcessor(CHANGES, (index) => {
    const generation = index + 2;
    const [object] = makeSizedConfiguration(makeSize(1), generation).services;
    if (object === undefined) return;
    const root = {
      ...first.root,
      generation,
      nonce: `nonce-${generation}`,
      services: { ...first.root.services, [object.service.name]: object.hash },
    };
    reduce(state, { kind: 'configurationPushed', root, services: [object] }, context);
  });
}

/** What following the configuration costs a process. */
export function measureConfiguration(): Slope[] {
  return [
    measureSlope(name('the stored root', 'bytes stored'), SERVICE_COUNTS, (services) =>
      getStoredBytes(makeSizedConfiguration(makeSize(services), 1).root),
    ),
    measureSlope(
      name('a change of one service, as a peer tells it', 'bytes sent'),
      SERVICE_COUNTS,
      (services) => {
        const { root, services: objects } = makeSizedConfiguration(makeSize(services), 1);
        return getMessageBytes({
          kind: 'configurationTold',
          root,
          services: objects.slice(0, 1),
        });
      },
    ),
    measureSlope(
      name('putting a change of one service into force', 'µs of processor'),
      SERVICE_COUNTS,
      measureChange,
    ),
    measureSlope(
      name('the configuration in force', 'bytes of memory'),
      SERVICE_COUNTS,
      (services) =>
        measureMemory(() => {
          const state = createEntryState(makeSizedSettings(), 0);
          const pushed = makeSizedConfiguration(makeSize(services), 1);
          // As read from the wire: nothing is shared with the values made here.
          const copy = JSON.parse(JSON.stringify(pushed)) as typeof pushed;
          reduce(state, { kind: 'configurationPushed', ...copy }, { now: 1, random: () => 0.5 });
          return state;
        }),
    ),
  ];
}
