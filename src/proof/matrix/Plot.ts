import type { ZoneConfig, ZoneState } from '../../core/index.js';
import { sendFromCaller } from '../callerPort.js';
import type { CallerAnswer, CallerRequest } from '../observations.js';
import { publish } from '../publishing.js';
import { VirtualCallers } from '../VirtualCallers.js';
import type { VirtualFleet } from '../VirtualFleet.js';

/** When each thing happens, in milliseconds. */
const TIMES = {
  firstRequest: 500,
  zoneOut: 4_000,
  plannedStop: 5_000,
  zoneIn: 7_000,
  targetLeaves: 8_000,
  machineDies: 10_000,
  machineBack: 13_000,
  stoppedBack: 12_000,
  targetBack: 14_000,
} as const;

/** Faults end by this time at the latest, in milliseconds. */
export const QUIET_FROM_MS = 21_000;

/** Requests from here on have to be served well, in milliseconds. */
export const RECOVERED_BY_MS = 29_000;

/** End of the plot, in milliseconds. */
export const PLOT_END_MS = 33_000;

const REQUEST_EVERY_MS = 12;
const RESENDS = 4;
const RESEND_AFTER_MS = 250;

/**
 * A life of a small fleet that comes through every protocol: starts, requests of all kinds, a zone
 * out and back, a planned stop, a death, a leaving target.
 */
export class Plot {
  /** Good answers and requests of the last part, when all should be well again. */
  readonly recovered = { requests: 0, good: 0 };

  /** @internal */
  private readonly callers: VirtualCallers;

  /** @internal */
  private generation = 1;

  /** @internal */
  private zones: readonly ZoneConfig[];

  /** @internal */
  private sent = 0;

  /** @internal */
  private isLeaving = false;

  /** @param fleet - The fleet, not yet started. */
  constructor(private readonly fleet: VirtualFleet) {
    this.callers = new VirtualCallers(fleet);
    this.zones = fleet.options.zones;
  }

  /** Starts the fleet and plans all that happens. */
  begin(): void {
    const { clock } = this.fleet;
    this.fleet.start();
    clock.after(TIMES.firstRequest, () => this.sendNext());
    clock.after(TIMES.zoneOut, () => this.moveZone('out'));
    clock.after(TIMES.zoneIn, () => this.moveZone('in'));
    clock.after(TIMES.plannedStop, () => this.stopOne());
    clock.after(TIMES.stoppedBack, () => this.startEnded());
    clock.after(TIMES.targetLeaves, () => this.toggleLeaving());
    clock.after(TIMES.targetBack, () => this.toggleLeaving());
    clock.after(TIMES.machineDies, () => this.killOne());
    clock.after(TIMES.machineBack, () => this.startEnded());
    clock.after(QUIET_FROM_MS, () => this.quieten());
  }

  /**
   * Operators take the last zone out or bring it back.
   * @param state - Which.
   */
  moveZone(state: ZoneState): void {
    const last = this.zones.length - 1;
    const zones = this.zones.map((zone, i) => (i === last ? { ...zone, state } : zone));
    if (!publish(this.fleet, this.generation + 1, zones, this.fleet.options.services)) return;
    this.generation += 1;
    this.zones = zones;
  }

  /** Two operators publish different changes from the same base; one has to be refused. */
  raceOperators(): void {
    const base = this.generation;
    this.moveZone('out');
    if (this.generation === base) return;
    const { store } = this.fleet;
    const stale = store.peek('config/root')?.version ?? 0;
    store.call({ op: 'put', key: 'config/root', value: {}, expect: stale - 1 }, () => {});
    this.fleet.clock.after(1_000, () => this.moveZone('in'));
  }

  /** The platform lists a target as leaving, or as live again. */
  toggleLeaving(): void {
    this.isLeaving = !this.isLeaving;
    const [id] = this.fleet.targets.keys();
    const name = (id ?? '').slice((id ?? '').indexOf('/') + 1);
    this.fleet.setLeaving(this.isLeaving ? [name] : []);
  }

  /** A caller sends a request that crashes each target that runs it, and sends it again. */
  sendCrashRequest(): void {
    for (const target of this.fleet.targets.values()) target.faults.crashesOn.add('crash');
    for (let i = 0; i < 4; i++) {
      this.fleet.clock.after(i * 150, () => {
        this.sent += 1;
        const request: CallerRequest = {
          uid: `crash-${this.sent}`,
          service: this.fleet.options.services[0]?.name ?? '',
          caller: 'crasher',
          method: 'GET',
          fingerprint: 'crash',
        };
        this.callers.send(request, () => {});
      });
    }
  }

  /** @internal */
  private sendNext(): void {
    const { clock, random, options } = this.fleet;
    if (clock.now() >= PLOT_END_MS - 1_500) return;
    this.sent += 1;
    const service = options.services[this.sent % options.services.length];
    const isWrite = random() < 0.4;
    const hasKey = isWrite && random() < 0.6;
    this.send(
      {
        uid: `r${this.sent}`,
        service: service?.name ?? '',
        caller: `caller-${this.sent % 5}`,
        method: isWrite ? 'POST' : 'GET',
        fingerprint: `f${this.sent % 9}`,
        key: hasKey ? `k${this.sent}` : undefined,
        deadlineMs: random() < 0.3 ? 1_000 : undefined,
      },
      0,
    );
    clock.after(REQUEST_EVERY_MS * 2 * random(), () => this.sendNext());
  }

  /** @internal */
  private send(request: CallerRequest, tries: number): void {
    const sentAt = this.fleet.clock.now();
    const onAnswer = (answer: CallerAnswer) => {
      if (sentAt >= RECOVERED_BY_MS && tries === 0) this.count(answer);
      this.sendAgain(request, tries, answer);
    };
    // Some callers keep an address for ever.
    if (this.fleet.random() < 0.1) {
      const vms = [...this.fleet.current.values()];
      const vm = vms[Math.floor(this.fleet.random() * vms.length)];
      if (vm !== undefined) sendFromCaller(this.fleet, vm, request, onAnswer);
    } else {
      this.callers.send(request, onAnswer);
    }
  }

  /** A caller with a key sends again until it knows, and now and then without waiting. @internal */
  private sendAgain(request: CallerRequest, tries: number, answer: CallerAnswer): void {
    const isKnown = answer.kind === 'answered' || answer.kind === 'replayed';
    if (request.key === undefined || tries >= RESENDS) return;
    if (isKnown && this.fleet.random() < 0.8) return;
    const uid = `${request.uid}+`;
    const waitMs = RESEND_AFTER_MS * this.fleet.random();
    this.fleet.clock.after(waitMs, () => this.send({ ...request, uid }, tries + 1));
  }

  /** @internal */
  private count(answer: CallerAnswer): void {
    this.recovered.requests += 1;
    if (answer.kind === 'answered' || answer.kind === 'replayed') this.recovered.good += 1;
  }

  /** @internal */
  private stopOne(): void {
    const vm = [...this.fleet.current.values()].at(1);
    if (vm !== undefined) this.fleet.askToStop(vm);
  }

  /** @internal */
  private killOne(): void {
    const vm = [...this.fleet.current.values()].at(2);
    if (vm !== undefined) this.fleet.kill(vm, true);
  }

  /** @internal */
  private startEnded(): void {
    for (const [machine, vm] of this.fleet.current) {
      if (vm.life === 'ended') this.fleet.startProcess(machine);
    }
  }

  /** Mends what a fault may have left behind. @internal */
  private quieten(): void {
    const { network, store, vmList } = this.fleet;
    this.fleet.trouble();
    network.heal();
    network.dropShare = 0;
    store.faults.down = undefined;
    store.faults.extraMs = 0;
    store.faults.losesAnswer = undefined;
    vmList.lagMs = 2_000;
    for (const target of this.fleet.targets.values()) target.faults.crashesOn.clear();
    if (this.isLeaving) this.toggleLeaving();
    if (this.zones.some(({ state }) => state === 'out')) this.moveZone('in');
    this.startEnded();
  }
}
