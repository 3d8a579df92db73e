import type { VmEntry } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type {
  EvidenceCounts,
  ExposureBound,
  RolloutGuidance,
  RolloutOrder,
  RolloutPhase,
} from '../rollouts/index.js';
import { RolloutCoordinator } from '../rollouts/index.js';
import type { Clock, TimerService } from '../timing/index.js';
import { CoordinatorChoice } from './CoordinatorChoice.js';
import type { FleetStore } from './FleetStore.js';
import type { FleetView } from './FleetView.js';
import type { GuidanceMessage, RolloutMessage } from './rolloutMessages.js';
import { readRolloutMessage, writeRolloutMessage } from './rolloutMessages.js';
import { RolloutWriter } from './RolloutWriter.js';

/** How often VMs report while a rollout runs, in milliseconds. */
const REPORT_MS = 400;

/** A coordinator's word holds for so long, in milliseconds: two reports in a row may get lost. */
const GUIDANCE_MS = 1_200;

/** What this VM knows of its own requests while an order runs. */
export interface OwnRollout {
  readonly phase: RolloutPhase;
  readonly oldRequests: number;
  readonly counts: EvidenceCounts;
}

/** What the synchronisation works with. */
export interface RolloutSyncParts {
  readonly self: VmEntry;
  /** Names this run of this VM's process. */
  readonly run: string;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly bound: ExposureBound;
  /** Sends a datagram to another VM. */
  send(text: string, address: string): void;
  /** This VM's own part in an order; undefined if it does not know the order. */
  getOwn(order: RolloutOrder): OwnRollout | undefined;
  /** Told what to do about an order, and until when that holds without further word. */
  onGuidance(order: string, guidance: RolloutGuidance, until: number): void;
}

interface Heard extends RolloutGuidance {
  readonly at: number;
}

/** One order that runs. */
interface RunningOrder {
  order: RolloutOrder;
  /** When the order was given, as far as is known; monotonic milliseconds. */
  orderedAt: number;
  sequence: number;
  /** Latest word of each coordinator, by its peer address. */
  readonly heard: Map<string, Heard>;
  /** Set once another VM has reported to this one. */
  coordinator: RolloutCoordinator | undefined;
  readonly writer: RolloutWriter;
}

function isOver({ state }: RolloutOrder): boolean {
  return state === 'completed' || state === 'rolledBack';
}

/**
 * Reports to the VMs that coordinate rollouts, and does as they say; coordinates for those that report
 * to this one. Nothing is sent while no rollout runs, and the store is needed for its final word only.
 */
export class RolloutSync {
  /** By id. @internal */
  private readonly running = new Map<string, RunningOrder>();

  /** @internal */
  private readonly choice: CoordinatorChoice;

  /** @param parts - What the synchronisation works with. */
  constructor(private readonly parts: RolloutSyncParts) {
    const { view, self } = parts;
    this.choice = new CoordinatorChoice(self);
    this.choice.update([]);
    view.onChange(({ section }) => {
      if (section === 'vms') this.choice.update(view.vms.values());
      if (section === 'rollouts') this.takeOrders();
    });
  }

  /** Begins to report. */
  start(timers: TimerService): void {
    timers.subscribe(REPORT_MS, () => this.report());
  }

  /**
   * Takes a datagram.
   * @param text - What it says.
   * @param address - Peer address of the VM that sent it.
   */
  take(text: string, address: string): void {
    let message: RolloutMessage;
    try {
      message = readRolloutMessage(text);
    } catch (err) {
      this.parts.log.write('rollout.unreadable', { address, message: (err as Error).message });
      return;
    }
    const running = this.running.get(message.order);
    if (running === undefined) return;
    if (message.kind === 'guidance') {
      this.choice.noteHeard(address);
      this.hear(running, message, address);
      return;
    }
    this.coordinate(running, message);
    const answer = this.makeGuidance(running);
    if (answer !== undefined) this.parts.send(writeRolloutMessage(answer), address);
  }

  /** @internal */
  private takeOrders(): void {
    const { view, clock, store, log } = this.parts;
    const orders = [...view.rollouts.values()].filter((order) => !isOver(order));
    const ids = new Set(orders.map(({ id }) => id));
    for (const id of this.running.keys()) if (!ids.has(id)) this.running.delete(id);
    for (const order of orders) {
      const known = this.running.get(order.id);
      if (known !== undefined) known.order = order;
      else {
        this.running.set(order.id, {
          order,
          orderedAt: clock.now(),
          sequence: 0,
          heard: new Map(),
          coordinator: undefined,
          writer: new RolloutWriter({ store, clock, log }),
        });
      }
    }
  }

  /** @internal */
  private report(): void {
    for (const running of this.running.values()) {
      this.reportOne(running);
      this.obey(running);
      const { order, coordinator, writer } = running;
      if (coordinator !== undefined) writer.write(order, coordinator, this.choice.rank);
    }
  }

  /** @internal */
  private reportOne(running: RunningOrder): void {
    const { self, run, clock, send, getOwn } = this.parts;
    const own = getOwn(running.order);
    if (own === undefined) return;
    const now = clock.now();
    running.sequence += 1;
    const { order, sequence, orderedAt } = running;
    const ageMs = Math.round(now - orderedAt);
    const message: RolloutMessage = {
      kind: 'report',
      order: order.id,
      vm: self.name,
      run,
      sequence,
      ageMs,
      ...own,
    };
    const text = writeRolloutMessage(message);
    for (const address of this.choice.getAddresses(now)) {
      if (address === self.peers) {
        this.coordinate(running, message);
        const answer = this.makeGuidance(running);
        if (answer !== undefined) this.hear(running, answer, address);
      } else {
        this.choice.noteAsked(address, now);
        send(text, address);
      }
    }
  }

  /** @internal */
  private coordinate(running: RunningOrder, message: RolloutMessage & { kind: 'report' }): void {
    const { clock, bound, log } = this.parts;
    const now = clock.now();
    if (running.coordinator === undefined) {
      running.coordinator = new RolloutCoordinator(running.order, bound, now);
      log.write('rollout.coordinating', { order: running.order.id, rank: this.choice.rank });
    }
    running.coordinator.take(message, now);
  }

  /** @internal */
  private makeGuidance({ order, coordinator }: RunningOrder): GuidanceMessage | undefined {
    if (coordinator === undefined) return undefined;
    const { clock, log, view, getOwn } = this.parts;
    const now = clock.now();
    const before = coordinator.lastPhase;
    const guidance = coordinator.decide(now, view.vms.size);
    if (coordinator.lastPhase !== before) {
      const { lastPhase: phase } = coordinator;
      const inputs = coordinator.getInputs(now);
      log.write('rollout.judged', { order: order.id, phase, before, ...inputs });
    }
    const ageMs = Math.round(coordinator.getAge(now));
    // A VM that was told that the version is condemned passes that on, whoever asks.
    const isStopped = getOwn(order)?.phase === 'stopped';
    if (isStopped) return { kind: 'guidance', order: order.id, ageMs, phase: 'stopped', share: 0 };
    return guidance && { kind: 'guidance', order: order.id, ageMs, ...guidance };
  }

  /** @internal */
  private hear(running: RunningOrder, message: GuidanceMessage, address: string): void {
    const { phase, share, routeShares, ageMs } = message;
    const now = this.parts.clock.now();
    running.orderedAt = Math.min(running.orderedAt, now - ageMs);
    running.heard.set(address, { phase, share, routeShares, at: now });
    this.obey(running);
  }

  /** Goes by the first coordinator that has spoken lately; that one condemns is enough. @internal */
  private obey({ order, heard }: RunningOrder): void {
    const { clock, onGuidance } = this.parts;
    const now = clock.now();
    const words = [...heard.values()].filter(({ at }) => now - at < GUIDANCE_MS);
    const stop = words.find(({ phase }) => phase === 'stopped');
    const first = this.choice
      .getAddresses(now)
      .map((address) => heard.get(address))
      .find((word) => word !== undefined && now - word.at < GUIDANCE_MS);
    const word = stop ?? first;
    if (word === undefined) return;
    const { at, ...guidance } = word;
    onGuidance(order.id, guidance, at + GUIDANCE_MS);
  }
}
