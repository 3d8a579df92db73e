import fc from 'fast-check';

import type { LocalFleet, Process } from './LocalFleet.js';

/** Kinds of faults. Each fault lasts for a limited time. */
export const FAULTS = [
  'pause',
  'endProcess',
  'killVm',
  'plannedStop',
  'cutFromStore',
  'cutFromPeers',
  'cutOneLink',
  'loseMessages',
  'storeRefuses',
  'storeHangs',
  'storeSlow',
  'storeLosesAnswers',
] as const;

/** One fault of a schedule. Times in milliseconds. */
export interface Fault {
  readonly kind: (typeof FAULTS)[number];
  readonly at: number;
  readonly forMs: number;
  readonly vm: number;
  readonly otherVm: number;
}

/**
 * Creates an arbitrary that generates schedules of faults.
 * @param size - Number of entry VMs.
 * @param spanMs - Period in which faults begin, in milliseconds.
 */
export function drawSchedule(size: number, spanMs: number): fc.Arbitrary<Fault[]> {
  const vm = fc.integer({ min: 0, max: size - 1 });
  const fault = fc.record({
    kind: fc.constantFrom(...FAULTS),
    at: fc.integer({ min: 0, max: spanMs }),
    forMs: fc.integer({ min: 50, max: 6_000 }),
    vm,
    otherVm: vm,
  });
  return fc.array(fault, { minLength: 1, maxLength: 8 });
}

type FaultInjector = (fleet: LocalFleet, fault: Fault) => () => void;

interface CutCounts {
  readonly store: Map<string, number>;
  readonly peers: Map<string, number>;
  readonly links: Map<string, number>;
}

const CUTS_BY_FLEET = new WeakMap<LocalFleet, CutCounts>();

function getVmName({ id }: Process): string {
  return id.split('#')[0] ?? id;
}

function getCuts(fleet: LocalFleet): CutCounts {
  const existing = CUTS_BY_FLEET.get(fleet);
  if (existing !== undefined) return existing;
  const cuts: CutCounts = { store: new Map(), peers: new Map(), links: new Map() };
  CUTS_BY_FLEET.set(fleet, cuts);
  const isCut = (table: Map<string, number>, key: string): boolean => (table.get(key) ?? 0) > 0;
  fleet.canReachStore = (process) => !isCut(cuts.store, getVmName(process));
  fleet.isLinked = (from, to) =>
    !isCut(cuts.peers, getVmName(from)) &&
    !isCut(cuts.peers, getVmName(to)) &&
    !isCut(cuts.links, `${getVmName(from)}-${getVmName(to)}`) &&
    !isCut(cuts.links, `${getVmName(to)}-${getVmName(from)}`);
  return cuts;
}

function addCut(table: Map<string, number>, key: string): () => void {
  table.set(key, (table.get(key) ?? 0) + 1);
  return () => table.set(key, (table.get(key) ?? 1) - 1);
}

/** Sets the condition of a process, and starts a new one on its VM when the fault is over. */
function endThenRestart(condition: 'ended' | 'dead'): FaultInjector {
  return (fleet, fault) => {
    const process = fleet.getProcess(fault.vm);
    process.condition = condition;
    return () => {
      process.condition = 'ended';
      if (fleet.getProcess(fault.vm) === process) fleet.start(fault.vm);
    };
  };
}

/** Injects each kind of fault; the returned function clears the fault. */
const FAULT_INJECTORS: Readonly<Record<Fault['kind'], FaultInjector>> = {
  pause: (fleet, fault) => {
    const process = fleet.getProcess(fault.vm);
    if (process.condition === 'running') process.condition = 'paused';
    return () => fleet.resume(process);
  },
  endProcess: endThenRestart('ended'),
  killVm: endThenRestart('dead'),
  plannedStop: (fleet, fault) => {
    const process = fleet.getProcess(fault.vm);
    fleet.dispatch(process, { kind: 'stopAsked' });
    return () => {};
  },
  cutFromStore: (fleet, fault) => addCut(getCuts(fleet).store, `vm${fault.vm}`),
  cutFromPeers: (fleet, fault) => addCut(getCuts(fleet).peers, `vm${fault.vm}`),
  cutOneLink: (fleet, fault) => addCut(getCuts(fleet).links, `vm${fault.vm}-vm${fault.otherVm}`),
  loseMessages: (fleet) => {
    fleet.lossRate = 0.3;
    return () => {
      fleet.lossRate = 0;
    };
  },
  storeRefuses: (fleet) => {
    fleet.store.faults.down = 'refusing';
    return () => {
      fleet.store.faults.down = undefined;
    };
  },
  storeHangs: (fleet) => {
    fleet.store.faults.down = 'hanging';
    return () => {
      fleet.store.faults.down = undefined;
    };
  },
  storeSlow: (fleet) => {
    fleet.store.faults.extraMs = 300;
    return () => {
      fleet.store.faults.extraMs = 0;
    };
  },
  storeLosesAnswers: (fleet) => {
    fleet.store.faults.losesAnswer = () => fleet.random() < 0.4;
    return () => {
      fleet.store.faults.losesAnswer = undefined;
    };
  },
};

/** Schedules the faults on the virtual clock; each is cleared after its duration. */
export function scheduleFaults(fleet: LocalFleet, schedule: readonly Fault[]): void {
  for (const fault of schedule) {
    fleet.clock.after(fault.at, () => {
      const clear = FAULT_INJECTORS[fault.kind](fleet, fault);
      fleet.clock.after(fault.forMs, clear);
    });
  }
}
