import type { VirtualFleet } from '../VirtualFleet.js';
import type { VirtualVm } from '../VirtualVm.js';
import type { Plot } from './Plot.js';

/** What a fault strikes. */
export interface Struck {
  readonly fleet: VirtualFleet;
  readonly plot: Plot;
  /** The process whose step it strikes at. */
  readonly vm: VirtualVm;
}

type Fault = (struck: Struck) => void;

/** Longer than a lease with its margin. */
const LONG_MS = 4_500;
const SHORT_MS = 400;

/** Does something now and takes it back later; both excuse what is late. */
function during(fleet: VirtualFleet, forMs: number, begin: () => void, end: () => void): void {
  fleet.trouble();
  begin();
  fleet.clock.after(forMs, () => {
    fleet.trouble();
    end();
  });
}

function storeFault(forMs: number, begin: (struck: Struck) => void): Fault {
  return (struck) => {
    const { faults } = struck.fleet.store;
    during(
      struck.fleet,
      forMs,
      () => begin(struck),
      () => {
        faults.down = undefined;
        faults.extraMs = 0;
        faults.losesAnswer = undefined;
      },
    );
  };
}

function cutFault(forMs: number, others: (struck: Struck) => readonly string[]): Fault {
  return (struck) => {
    const { fleet, vm } = struck;
    const { machine } = vm.options;
    during(
      fleet,
      forMs,
      () => others(struck).forEach((other) => fleet.network.cut(machine, other)),
      () => fleet.network.heal(),
    );
  };
}

function getPeers({ fleet, vm }: Struck): string[] {
  return [...fleet.current.keys()].filter((name) => name !== vm.options.machine);
}

/** A target that the process is connected to, or else any. */
function pickTarget({ fleet, vm }: Struck) {
  const [connected] = vm.idleConnections.keys();
  const [first] = fleet.targets.keys();
  return fleet.targets.get(connected ?? first ?? '');
}

function targetFault(
  forMs: number,
  name: 'draining' | 'failsFast' | 'sheds' | 'cutsAnswers',
): Fault {
  return (struck) => {
    const target = pickTarget(struck);
    if (target === undefined) return;
    during(
      struck.fleet,
      forMs,
      () => {
        target.faults[name] = true;
      },
      () => {
        target.faults[name] = false;
      },
    );
  };
}

function restartLater({ fleet, vm }: Struck, afterMs: number): void {
  const { machine } = vm.options;
  fleet.clock.after(afterMs, () => {
    if (fleet.current.get(machine) !== vm || vm.life !== 'ended') return;
    fleet.trouble();
    fleet.startProcess(machine);
  });
}

function pickOtherVm({ fleet, vm }: Struck): VirtualVm {
  const others = [...fleet.current.values()].filter((other) => other !== vm);
  return others.find(({ life }) => life === 'running') ?? vm;
}

/** The faults of the brief, each striking at a step of a process. */
export const FAULTS = {
  'target slow': (struck) => {
    const target = pickTarget(struck);
    if (target === undefined) return;
    const set = (factor: number) => () => {
      target.faults.slowFactor = factor;
    };
    during(struck.fleet, 1_500, set(20), set(1));
  },
  'target drains': targetFault(2_000, 'draining'),
  'target fails fast': targetFault(1_000, 'failsFast'),
  'target sheds': targetFault(1_000, 'sheds'),
  'target cuts answers': targetFault(500, 'cutsAnswers'),
  'target crashes': (struck) => {
    struck.fleet.trouble();
    pickTarget(struck)?.crash();
  },
  'target cold without warning': (struck) => {
    const target = pickTarget(struck);
    if (target !== undefined) struck.fleet.turnColdSilently(target.options.id);
  },
  'target misleads': (struck) => {
    const target = pickTarget(struck);
    if (target === undefined) return;
    const set = (load: number | undefined) => () => {
      target.faults.misleadingLoad = load;
    };
    during(struck.fleet, 3_000, set(0), set(undefined));
  },
  'crash request': ({ fleet, plot }) => {
    fleet.trouble();
    plot.sendCrashRequest();
  },
  'store refuses': storeFault(LONG_MS, ({ fleet }) => {
    fleet.store.faults.down = 'refusing';
  }),
  'store hangs': storeFault(LONG_MS, ({ fleet }) => {
    fleet.store.faults.down = 'hanging';
  }),
  'store slow': storeFault(LONG_MS, ({ fleet }) => {
    fleet.store.faults.extraMs = 700;
  }),
  'store loses an answer': storeFault(30, ({ fleet }) => {
    fleet.store.faults.losesAnswer = () => true;
  }),
  'store loses answers for long': storeFault(LONG_MS, ({ fleet }) => {
    fleet.store.faults.losesAnswer = () => fleet.random() < 0.7;
  }),
  'short pause': ({ fleet, vm }) => fleet.pause(vm, SHORT_MS),
  'pause beyond the lease': ({ fleet, vm }) => fleet.pause(vm, LONG_MS),
  'another paused beyond the lease': (struck) => struck.fleet.pause(pickOtherVm(struck), LONG_MS),
  'process killed': (struck) => {
    struck.fleet.kill(struck.vm, false);
    restartLater(struck, 2_000);
  },
  'process killed and back at once': (struck) => {
    struck.fleet.kill(struck.vm, false);
    restartLater(struck, 50);
  },
  'machine dies': (struck) => {
    struck.fleet.kill(struck.vm, true);
    restartLater(struck, LONG_MS);
  },
  'another machine dies': (struck) => {
    const vm = pickOtherVm(struck);
    if (vm === struck.vm) return;
    struck.fleet.kill(vm, true);
    restartLater({ ...struck, vm }, LONG_MS);
  },
  'planned stop': (struck) => {
    struck.fleet.askToStop(struck.vm);
    restartLater(struck, LONG_MS + 6_000);
  },
  'cut from the store': cutFault(LONG_MS, () => ['store']),
  'cut from peers': cutFault(LONG_MS, getPeers),
  'cut from store and peers': cutFault(LONG_MS, (struck) => ['store', ...getPeers(struck)]),
  'cut from targets': cutFault(2_000, ({ fleet }) => [...fleet.targets.keys()]),
  'not heard by peers': (struck) => {
    const { fleet, vm } = struck;
    during(
      fleet,
      LONG_MS,
      () => getPeers(struck).forEach((peer) => fleet.network.cutOneWay(vm.options.machine, peer)),
      () => fleet.network.heal(),
    );
  },
  'messages vanish': ({ fleet }) =>
    during(
      fleet,
      3_000,
      () => {
        fleet.network.dropShare = 0.3;
      },
      () => {
        fleet.network.dropShare = 0;
      },
    ),
  'operators race': ({ plot }) => plot.raceOperators(),
  'zone out': ({ plot }) => plot.moveZone('out'),
  'zone in': ({ plot }) => plot.moveZone('in'),
  'target leaves': ({ fleet, plot }) => {
    fleet.trouble();
    plot.toggleLeaving();
  },
  'VM list lags': ({ fleet }) => {
    const set = (lagMs: number) => () => {
      fleet.vmList.lagMs = lagMs;
    };
    during(fleet, 5_000, set(10_000), set(2_000));
  },
} satisfies Readonly<Record<string, Fault>>;

export type FaultName = keyof typeof FAULTS;

export const FAULT_NAMES = Object.keys(FAULTS) as FaultName[];
