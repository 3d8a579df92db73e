import type {
  CoreEvent,
  CoreSettings,
  Effect,
  EntryState,
  Guards,
  PeerMessage,
  PeriodicJob,
} from '../../core/index.js';
import { createEntryState, DEFAULT_GUARDS, JOB_PERIODS_MS, reduce } from '../../core/index.js';
import { canDrive } from '../../core/fleet/index.js';
import { VirtualClock } from '../../proof/VirtualClock.js';
import { createRandom, StoreModel } from '../../standIns/models/index.js';
import { makeCoreSettings } from './fixtures.js';

const HOP_DELAY_MS = 1;
const STORE_TIMEOUT_MS = 500;

/** One entry process on the virtual clock. */
export interface Process {
  readonly id: string;
  readonly state: EntryState;
  /** Rate of this process's clock relative to the virtual clock. */
  readonly clockRate: number;
  /** `dead`: its VM does not respond; `ended`: its VM refuses connections. */
  condition: 'running' | 'paused' | 'dead' | 'ended';
  /** Events that arrived during a pause. */
  readonly deferredDeliveries: (() => void)[];
  /** Effects that are neither store calls nor messages. */
  readonly otherEffects: Effect[];
}

/** Options of a fleet. */
export interface LocalFleetOptions {
  readonly size: number;
  readonly seed?: number;
  readonly zones?: readonly string[];
  readonly guards?: Partial<Guards>;
  readonly settings?: Partial<CoreSettings>;
}

/** Runs several cores on one virtual clock, with a store model and a simulated network. */
export class LocalFleet {
  readonly clock = new VirtualClock();

  readonly store = new StoreModel(this.clock);

  readonly processes: Process[] = [];

  /** Whether a message is delivered; tests replace it to cut links. */
  isLinked: (from: Process, to: Process) => boolean = () => true;

  /** Whether a process can reach the store; tests replace it to cut connections. */
  canReachStore: (process: Process) => boolean = () => true;

  /** Share of messages that are lost. */
  lossRate = 0;

  /** Called for each message that is sent. */
  onMessage?: (from: Process, message: PeerMessage) => void;

  /** Called for each effect that is neither a store call nor a message. */
  onEffect?: (process: Process, effect: Effect) => void;

  /** Times of write calls to the store, on the virtual clock. */
  readonly storeWriteTimes: number[] = [];

  /** Times of all other calls to the store, on the virtual clock. */
  readonly storeReadTimes: number[] = [];

  readonly random: () => number;

  /** @internal */
  private startCount = 0;

  /** @param options - Size, seed and settings of the fleet. */
  constructor(private readonly options: LocalFleetOptions) {
    this.random = createRandom(options.seed ?? 1);
    for (let i = 0; i < options.size; i++) this.start(i);
  }

  /** Starts a process on a VM; a VM whose process ended gets a new one. */
  start(vm: number): Process {
    this.startCount += 1;
    const zones = this.options.zones ?? ['a', 'b', 'c'];
    const id = `vm${vm}#${this.startCount}`;
    const settings = makeCoreSettings({
      ...this.options.settings,
      self: {
        id,
        zone: zones[vm % zones.length] ?? 'a',
        address: `10.0.0.${vm}:8001`,
        peerAddress: `10.0.0.${vm}:9001`,
      },
    });
    const clockRate = 0.99 + 0.02 * this.random();
    const guards = { ...DEFAULT_GUARDS, ...this.options.guards };
    const state = createEntryState(settings, this.clock.now() * clockRate, guards);
    const process: Process = {
      id,
      state,
      clockRate,
      condition: 'running',
      deferredDeliveries: [],
      otherEffects: [],
    };
    this.processes.push(process);
    for (const job of Object.keys(JOB_PERIODS_MS) as PeriodicJob[]) this.scheduleJob(process, job);
    return process;
  }

  /** Returns the process that was started last on a VM. */
  getProcess(vm: number): Process {
    const process = this.processes.findLast(({ id }) => id.startsWith(`vm${vm}#`));
    if (process === undefined) throw new Error(`no process was started on VM ${vm}`);
    return process;
  }

  /** Returns the time on a process's own clock. */
  getTime(process: Process): number {
    return this.clock.now() * process.clockRate;
  }

  /** Dispatches an event to a process, or defers it until its pause ends. */
  dispatch(process: Process, event: CoreEvent): void {
    if (process.condition === 'dead' || process.condition === 'ended') return;
    if (process.condition === 'paused') {
      process.deferredDeliveries.push(() => this.dispatch(process, event));
      return;
    }
    const context = { now: this.getTime(process), random: this.random };
    for (const effect of reduce(process.state, event, context)) this.runEffect(process, effect);
  }

  /** Resumes a paused process and delivers all events that arrived during the pause. */
  resume(process: Process): void {
    if (process.condition !== 'paused') return;
    process.condition = 'running';
    for (const deliver of process.deferredDeliveries.splice(0)) deliver();
  }

  /** Advances the virtual clock. */
  runFor(ms: number, afterEach?: () => void): void {
    this.clock.runUntil(this.clock.now() + ms, afterEach);
  }

  /** Returns the running processes that may drive a partition now. */
  getDrivers(partition: string): Process[] {
    return this.processes.filter(
      (process) =>
        process.condition === 'running' &&
        canDrive(process.state, partition, this.getTime(process)),
    );
  }

  /** Returns all partitions that are granted to some process. */
  getPartitions(): Set<string> {
    return new Set(this.processes.flatMap(({ state }) => [...state.fleet.granted]));
  }

  /** Returns the partitions that more than one running process may drive now. */
  getConflicts(): string[] {
    return [...this.getPartitions()].filter((partition) => this.getDrivers(partition).length > 1);
  }

  /** @internal */
  private scheduleJob(process: Process, job: PeriodicJob): void {
    const tick = (): void => {
      if (process.condition === 'dead' || process.condition === 'ended') return;
      if (process.condition === 'running') this.dispatch(process, { kind: 'jobDue', job });
      this.clock.after(JOB_PERIODS_MS[job], tick);
    };
    this.clock.after(JOB_PERIODS_MS[job] * this.random(), tick);
  }

  /** @internal */
  private runEffect(process: Process, effect: Effect): void {
    if (effect.kind === 'callStore') this.callStore(process, effect);
    else if (effect.kind === 'sendPeer') this.sendMessage(process, effect);
    else {
      if (effect.kind === 'exit') process.condition = 'ended';
      process.otherEffects.push(effect);
      this.onEffect?.(process, effect);
    }
  }

  /** @internal */
  private callStore(process: Process, { call, op }: Extract<Effect, { kind: 'callStore' }>): void {
    const isWrite = op.op === 'put' || op.op === 'delete';
    (isWrite ? this.storeWriteTimes : this.storeReadTimes).push(this.clock.now());
    if (!this.canReachStore(process)) {
      this.clock.after(HOP_DELAY_MS, () =>
        this.dispatch(process, { kind: 'storeAnswered', call, result: { kind: 'unavailable' } }),
      );
      return;
    }
    let isAnswered = false;
    const waitMs = op.op === 'watch' ? op.waitMs : 0;
    this.clock.after(waitMs + STORE_TIMEOUT_MS, () => {
      if (isAnswered) return;
      isAnswered = true;
      this.dispatch(process, { kind: 'storeAnswered', call, result: { kind: 'unknown' } });
    });
    this.store.call(op, (result) => {
      if (isAnswered || result === 'lost') return;
      isAnswered = true;
      this.clock.after(0, () => this.dispatch(process, { kind: 'storeAnswered', call, result }));
    });
  }

  /** @internal */
  private sendMessage(process: Process, effect: Extract<Effect, { kind: 'sendPeer' }>): void {
    const { message, peer, peerAddress } = effect;
    this.onMessage?.(process, message);
    const to = this.processes.findLast(
      ({ state }) => state.settings.self.peerAddress === peerAddress,
    );
    if (to === undefined || to.condition === 'dead' || !this.isLinked(process, to)) return;
    if (to.condition === 'ended') {
      this.clock.after(2 * HOP_DELAY_MS, () =>
        this.dispatch(process, { kind: 'peerSendFailed', peer, reason: 'refused' }),
      );
      return;
    }
    if (this.random() < this.lossRate) return;
    const copy = JSON.parse(JSON.stringify(message)) as PeerMessage;
    this.clock.after(HOP_DELAY_MS * (0.5 + this.random()), () =>
      this.dispatch(to, { kind: 'peerMessageArrived', from: process.id, message: copy }),
    );
  }
}
