import type {
  CoreSettings,
  Effect,
  EntryVmId,
  Member,
  RequestArrived,
  ServiceConfig,
  ServiceSpare,
  TargetId,
  VmListEntry,
  ZoneConfig,
} from '../core/index.js';
import { DEFAULT_CORE_SETTINGS, getServiceSpare } from '../core/index.js';
import type { TargetModelOptions } from '../standIns/models/index.js';
import { createRandom, StoreModel, TargetModel, VmListModel } from '../standIns/models/index.js';
import { carryOut, getStep } from './carryOut.js';
import type { AnswerPort, LiveRequest } from './live.js';
import type { CallerRequest, LifeChange, Observation, Observe } from './observations.js';
import { VirtualClock } from './VirtualClock.js';
import { publish, pushConfiguration } from './publishing.js';
import type { NetworkOptions } from './VirtualNetwork.js';
import { VirtualNetwork } from './VirtualNetwork.js';
import { listVms } from './vmListing.js';
import { VirtualVm } from './VirtualVm.js';

/** Where in a step of a protocol something strikes. */
export type StepPoint = 'beforeSend' | 'afterEffect' | 'afterAnswer';

/** A machine that runs an entry process. */
export interface VirtualMachine {
  readonly name: string;
  readonly zone: string;
}

/** What a fleet is made of. */
export interface VirtualFleetOptions {
  readonly seed: number;
  readonly machines: readonly VirtualMachine[];
  readonly zones: readonly ZoneConfig[];
  readonly services: readonly ServiceConfig[];
  readonly network: NetworkOptions;
  readonly settings: Partial<CoreSettings>;
  /** Options of each target besides its name and slots. */
  readonly targets: Partial<TargetModelOptions>;
  /** Copies each peer message as over a wire; slower. */
  readonly copiesMessages: boolean;
  readonly vmListLagMs: number;
  /** Hands the first configuration to each process rather than let it read the store. */
  readonly pushesFirst: boolean;
  /** Clock rates of the processes in order of their start; 1 where absent. */
  readonly clockRates?: readonly number[];
  readonly observe: Observe;
  readonly onStep?: (point: StepPoint, vm: VirtualVm, step: string) => void;
  /** Hears each effect as a process asks for it, such as to count messages. */
  readonly onEffect?: (vm: VirtualVm, effect: Effect) => void;
  readonly onLog?: (vm: string, effect: Extract<Effect, { kind: 'log' }>) => void;
  /** Changes a new process before its first event, such as to take a guard away. */
  readonly onCreate?: (vm: VirtualVm) => void;
}

/** Where a request comes from. */
export interface ArrivalOptions {
  readonly forwardedBy?: EntryVmId;
  readonly remainingMs?: number;
}

const VM_LIST_PERIOD_MS = 500;

/** From the moment that a process stops to listen to its end. */
const EXIT_GRACE_MS = 20;

/** Several cores, the models of what is outside them, and a network, on one virtual clock. */
export class VirtualFleet {
  readonly clock = new VirtualClock();

  readonly random: () => number;

  readonly network: VirtualNetwork;

  readonly store: StoreModel;

  readonly vmList: VmListModel;

  readonly targets = new Map<TargetId, TargetModel>();

  /** All runs of processes that ever were, by identity. */
  readonly vms = new Map<EntryVmId, VirtualVm>();

  /** The present run on each machine. */
  readonly current = new Map<string, VirtualVm>();

  /** When something last went wrong or was mended; what is late because of it is excused. */
  troubleAt = 0;

  /** When the VM list began to show a target as leaving. */
  readonly leavingShownAt = new Map<TargetId, number>();

  /** When a target last turned cold without any sign. */
  readonly silentColdAt = new Map<TargetId, number>();

  /** Store calls a second that the whole fleet may make. */
  readonly budget: Pick<CoreSettings, 'storeWritesPerSecond' | 'storeReadsPerSecond'>;

  /** @internal */
  private boots = 0;

  /** @internal */
  private readonly inForce = new Map<string, number>();

  /** @param options - What the fleet is made of. */
  constructor(readonly options: VirtualFleetOptions) {
    this.random = createRandom(options.seed);
    this.budget = { ...DEFAULT_CORE_SETTINGS, ...options.settings };
    this.network = new VirtualNetwork(this.clock, this.random, options.network);
    this.store = new StoreModel(this.clock);
    this.vmList = new VmListModel(this.clock, options.vmListLagMs);
    for (const { name, zone } of options.machines) this.network.place(name, zone);
    this.network.place('store', 'platform');
    for (const service of options.services) this.addTargets(service);
    this.vmList.setVms(listVms(this.options, []));
  }

  /** Publishes the first configuration and starts all processes. */
  start(): void {
    publish(this, 1, this.options.zones, this.options.services);
    for (const { name } of this.options.machines) this.startProcess(name);
    if (!this.options.pushesFirst) return;
    for (const vm of this.vms.values()) pushConfiguration(this, vm);
  }

  /**
   * Starts a process on a machine, as a new member.
   * @param machine - The machine's name.
   */
  startProcess(machine: string): VirtualVm {
    const index = this.options.machines.findIndex(({ name }) => name === machine);
    const zone = this.options.machines[index]?.zone ?? '';
    this.boots += 1;
    const member: Member = {
      id: `${machine}#${this.boots}`,
      zone,
      address: `10.0.0.${index}:8001`,
      peerAddress: `10.0.0.${index}:9001`,
    };
    const vm = new VirtualVm(this.clock, {
      member,
      machine,
      settings: this.options.settings,
      random: createRandom(this.options.seed * 1_000 + this.boots),
      clockRate: this.options.clockRates?.[this.boots - 1] ?? 1,
      carryOut: (sender, effect) => this.carryOut(sender, effect),
      onHandled: (handler) => this.seeGeneration(handler),
    });
    this.options.onCreate?.(vm);
    this.vms.set(vm.id, vm);
    this.current.set(machine, vm);
    this.seeLife(vm, 'started');
    vm.repeat(0, VM_LIST_PERIOD_MS, () =>
      vm.dispatch({ kind: 'vmListRead', vms: this.readVmList() }),
    );
    return vm;
  }

  /**
   * Ends a process at once.
   * @param vm - The process.
   * @param machineToo - Whether its machine dies with it, so that nothing answers there.
   */
  kill(vm: VirtualVm, machineToo: boolean): void {
    if (vm.life === 'ended') return;
    this.seeLife(vm, 'killed');
    this.trouble();
    this.endProcess(vm, machineToo);
  }

  /**
   * Ends a process that has said it may exit. Nobody connects any more; what its machine had
   * accepted for it by then is handled first.
   * @param vm - The process.
   */
  exit(vm: VirtualVm): void {
    vm.isClosed = true;
    this.clock.after(EXIT_GRACE_MS, () =>
      vm.enter(() => {
        this.seeLife(vm, 'exited');
        this.endProcess(vm, false);
      }),
    );
  }

  /**
   * Asks a process to stop, as the platform does before it replaces a VM.
   * @param vm - The process.
   */
  askToStop(vm: VirtualVm): void {
    if (vm.stopAsked || vm.life === 'ended') return;
    vm.stopAsked = true;
    this.seeLife(vm, 'stopAsked');
    vm.dispatch({ kind: 'stopAsked' });
  }

  /**
   * Freezes a process for a while.
   * @param vm - The process.
   * @param forMs - For how long.
   */
  pause(vm: VirtualVm, forMs: number): void {
    if (vm.life !== 'running') return;
    vm.pause();
    this.seeLife(vm, 'paused');
    this.trouble();
    this.clock.after(forMs, () => {
      if (vm.life !== 'paused') return;
      this.trouble();
      this.seeLife(vm, 'resumed');
      vm.resume();
    });
  }

  /**
   * A request's head reaches a process.
   * @param vm - The process.
   * @param asked - The request.
   * @param port - Way back.
   * @param arrival - Where it comes from.
   */
  arrive(
    vm: VirtualVm,
    asked: CallerRequest,
    port: AnswerPort,
    arrival: ArrivalOptions,
  ): LiveRequest {
    const live: LiveRequest = { id: vm.nextRequest, asked, port, attempts: new Map() };
    vm.nextRequest += 1;
    vm.requests.set(live.id, live);
    const { remainingMs, forwardedBy } = arrival;
    vm.enter(() => {
      const event: RequestArrived = {
        kind: 'requestArrived',
        request: live.id,
        service: asked.service,
        caller: asked.caller,
        method: asked.method,
        fingerprint: asked.fingerprint,
        key: asked.key,
        deadlineAt: remainingMs === undefined ? undefined : vm.now() + remainingMs,
        forwardedBy,
      };
      vm.dispatch(event);
    });
    return live;
  }

  /**
   * Who asked has gone.
   * @param vm - The process.
   * @param live - The request.
   */
  cancelRequest(vm: VirtualVm, live: LiveRequest): void {
    vm.enter(() => {
      if (!vm.requests.delete(live.id)) return;
      vm.dispatch({ kind: 'requestCancelled', request: live.id });
    });
  }

  /**
   * How a service stands at a process.
   * @param vm - The process.
   * @param service - The service's name.
   */
  readSpare(vm: VirtualVm, service: string): ServiceSpare | undefined {
    return getServiceSpare(vm.state, service);
  }

  /**
   * Tells what is seen from outside.
   * @param observation - What is seen.
   */
  observe(observation: Observation): void {
    this.options.observe(observation, this.clock.now());
  }

  /**
   * A step of a protocol was reached.
   * @param point - Where in the step.
   * @param vm - The process whose step it is.
   * @param step - The step's name.
   */
  step(point: StepPoint, vm: VirtualVm, step: string): void {
    this.options.onStep?.(point, vm, step);
  }

  /** Notes that something goes wrong or is mended now. */
  trouble(): void {
    this.troubleAt = this.clock.now();
  }

  /**
   * Sets which VMs the platform lists as leaving.
   * @param leaving - Their names.
   */
  setLeaving(leaving: readonly string[]): void {
    this.vmList.setVms(listVms(this.options, leaving));
  }

  /**
   * Turns a target cold without a restart, so that nothing tells of it.
   * @param id - The target.
   */
  turnColdSilently(id: TargetId): void {
    this.silentColdAt.set(id, this.clock.now());
    this.targets.get(id)?.turnCold();
  }

  /** @internal */
  private carryOut(vm: VirtualVm, effect: Effect): void {
    this.options.onEffect?.(vm, effect);
    if (this.options.onStep !== undefined) {
      const step = getStep(effect);
      if (step !== undefined) this.step('beforeSend', vm, step);
    }
    if (vm.life === 'running') carryOut(this, vm, effect);
    else vm.enter(() => carryOut(this, vm, effect));
  }

  /** The VM list as the platform shows it, noting which targets it shows as leaving. @internal */
  private readVmList(): readonly VmListEntry[] {
    const vms = this.vmList.getVisibleVms();
    for (const { service, name, state } of vms) {
      if (service === undefined) continue;
      const id = `${service}/${name}`;
      if (state === 'live') this.leavingShownAt.delete(id);
      else if (!this.leavingShownAt.has(id)) this.leavingShownAt.set(id, this.clock.now());
    }
    return vms;
  }

  /** @internal */
  private endProcess(vm: VirtualVm, machineToo: boolean): void {
    vm.life = 'ended';
    vm.isMachineDown = machineToo;
    for (const live of vm.requests.values()) live.port.lost(machineToo);
    for (const attempt of vm.attempts.values()) {
      attempt.ended = 'cancelled';
      attempt.cancelDeadline?.();
      if (!machineToo) attempt.cancelRemote?.();
    }
    vm.requests.clear();
    vm.attempts.clear();
  }

  /** @internal */
  private seeLife(vm: VirtualVm, change: LifeChange): void {
    this.observe({ kind: 'life', vm: vm.id, change });
  }

  /** @internal */
  private seeGeneration(vm: VirtualVm): void {
    const { generation } = vm.state.configuration.current;
    if (this.inForce.get(vm.id) === generation) return;
    this.inForce.set(vm.id, generation);
    this.observe({ kind: 'inForce', vm: vm.id, generation });
  }

  /** A target's process ended: its machine closes the connections that were idle. @internal */
  private closeIdle(target: TargetId): void {
    for (const vm of this.current.values()) {
      const { machine } = vm.options;
      const count = vm.idleConnections.get(target)?.count ?? 0;
      if (count === 0 || this.network.isCut(target, machine)) continue;
      this.clock.after(this.network.hop(target, machine), () => {
        vm.idleConnections.delete(target);
        for (let i = 0; i < count; i++) {
          vm.dispatch({ kind: 'connectionChanged', target, change: 'closed' });
        }
      });
    }
  }

  /** @internal */
  private addTargets(service: ServiceConfig): void {
    for (const { id, zone } of service.targets) {
      this.network.place(id, zone);
      const target = new TargetModel(this.clock, this.random, {
        ...this.options.targets,
        id,
        slots: service.capacity.slots,
        connectionCostMs: service.capacity.connectionCostMs,
        probeCostMs: service.probe.costMs,
      });
      target.onStart = (start) => this.observe({ kind: 'targetStarted', start });
      target.onOverloadCrash = () => this.observe({ kind: 'targetFellOver', target: id });
      target.onCrash = () => this.closeIdle(id);
      this.targets.set(id, target);
    }
  }
}
