import type { VmAnnouncement } from '../balancing/index.js';
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
import { RolloutStateWriter } from './RolloutStateWriter.js';

/** Interval of reports while a rollout is in progress, in milliseconds. */
const REPORT_INTERVAL_MS = 400;

/** Time for which guidance is valid, in milliseconds: two reports in a row may be lost. */
const GUIDANCE_VALIDITY_MS = 1_200;

/** This VM's own part in a rollout, as it reports it to the coordinators. */
export interface OwnRollout {
  readonly phase: RolloutPhase;
  /** Requests in progress at targets of the old version. */
  readonly oldRequests: number;
  readonly counts: EvidenceCounts;
}

/** Dependencies of `RolloutSync`. */
export interface RolloutSyncParts {
  readonly self: VmAnnouncement;
  /** Identifies this run of this VM's process. */
  readonly run: string;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly bound: ExposureBound;
  /** Sends a datagram to another VM. */
  send(text: string, address: string): void;
  /** Returns this VM's own part in an order; undefined if it does not know the order yet. */
  getOwnRollout(order: RolloutOrder): OwnRollout | undefined;
  /** Called with the guidance for an order, valid until `until` in monotonic milliseconds. */
  onGuidance(order: string, guidance: RolloutGuidance, until: number): void;
}

interface ReceivedGuidance extends RolloutGuidance {
  readonly receivedAt: number;
}

/** An order in progress. */
interface RunningOrder {
  order: RolloutOrder;
  /** Earliest time at which any VM is known to have seen the order; monotonic milliseconds. */
  orderedAt: number;
  sequence: number;
  /** Latest guidance of each coordinator, by its peer address. */
  readonly guidances: Map<string, ReceivedGuidance>;
  /** Set once this VM has received a report, its own included. */
  coordinator: RolloutCoordinator | undefined;
  readonly writer: RolloutStateWriter;
}

function isFinished({ state }: RolloutOrder): boolean {
  return state === 'completed' || state === 'rolledBack';
}

/**
 * Reports to the VMs that coordinate rollouts and applies their guidance, and coordinates for the
 * VMs that report to this one. Nothing is sent while no rollout is in progress; the store is needed
 * only for the orders and their states, and not for the decisions.
 */
export class RolloutSync {
  /** Orders in progress, by id. @internal */
  private readonly runningOrders = new Map<string, RunningOrder>();

  /** Finished orders whose state the store has lost, by id. @internal */
  private readonly lostStates = new Map<string, Pick<RunningOrder, 'order' | 'writer'>>();

  /** @internal */
  private readonly coordinators: CoordinatorChoice;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: RolloutSyncParts) {
    const { view, self } = parts;
    this.coordinators = new CoordinatorChoice(self);
    this.coordinators.update([]);
    view.onChange(({ section }) => {
      if (section === 'vms') this.coordinators.update(view.vms.values());
      if (section === 'rollouts') this.updateOrders();
    });
  }

  /** Starts to report periodically. */
  start(timers: TimerService): void {
    timers.subscribe(REPORT_INTERVAL_MS, () => this.reportAll());
  }

  /**
   * Handles a datagram: a report is answered with guidance, and received guidance is applied. One
   * that can't be decoded is logged.
   * @param text - Content of the datagram.
   * @param address - Peer address of the VM that sent it.
   */
  receive(text: string, address: string): void {
    let message: RolloutMessage;
    try {
      message = readRolloutMessage(text);
    } catch (err) {
      this.parts.log.write('rollout.unreadable', { address, message: (err as Error).message });
      return;
    }
    const running = this.runningOrders.get(message.order);
    if (running === undefined) return;
    if (message.kind === 'guidance') {
      this.coordinators.recordAnswer(address);
      this.receiveGuidance(running, message, address);
      return;
    }
    this.addReport(running, message);
    const answer = this.makeGuidance(running);
    if (answer !== undefined) this.parts.send(writeRolloutMessage(answer), address);
  }

  /** @internal */
  private updateOrders(): void {
    const { view, clock, store, log } = this.parts;
    this.updateLostStates();
    const orders = [...view.rollouts.values()].filter((order) => !isFinished(order));
    const ids = new Set(orders.map(({ id }) => id));
    for (const id of this.runningOrders.keys()) if (!ids.has(id)) this.runningOrders.delete(id);
    for (const order of orders) {
      const known = this.runningOrders.get(order.id);
      if (known !== undefined) known.order = order;
      else {
        this.runningOrders.set(order.id, {
          order,
          orderedAt: clock.now(),
          sequence: 0,
          guidances: new Map(),
          coordinator: undefined,
          writer: new RolloutStateWriter({ store, clock, log }),
        });
      }
    }
  }

  /** Finds the orders whose final state the store has lost. @internal */
  private updateLostStates(): void {
    const { view, clock, store, log } = this.parts;
    const lost = [...view.rollouts.values()].filter(({ isStateLost }) => isStateLost === true);
    const ids = new Set(lost.map(({ id }) => id));
    for (const id of this.lostStates.keys()) if (!ids.has(id)) this.lostStates.delete(id);
    for (const order of lost) {
      const { writer } = this.lostStates.get(order.id) ?? {
        writer: new RolloutStateWriter({ store, clock, log }),
      };
      this.lostStates.set(order.id, { order, writer });
    }
  }

  /**
   * Whether an order was read since the store was last restored. An earlier revision may by now be
   * that of another change, so no state is written for it.
   * @internal
   */
  private isCurrent({ position, name }: RolloutOrder): boolean {
    const { view } = this.parts;
    return position.epoch >= view.epoch && !view.isMissing('rollouts', name);
  }

  /** @internal */
  private writeStates(): void {
    const { rank } = this.coordinators;
    for (const { order, coordinator, writer } of this.runningOrders.values()) {
      if (coordinator !== undefined && this.isCurrent(order)) {
        writer.writeIfDue(order, coordinator, rank);
      }
    }
    for (const { order, writer } of this.lostStates.values()) {
      if (this.isCurrent(order)) writer.writeLostState(order, rank);
    }
  }

  /** @internal */
  private reportAll(): void {
    for (const running of this.runningOrders.values()) {
      this.sendReport(running);
      this.applyGuidance(running);
    }
    this.writeStates();
  }

  /** @internal */
  private sendReport(running: RunningOrder): void {
    const { self, run, clock, send, getOwnRollout } = this.parts;
    const own = getOwnRollout(running.order);
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
    for (const address of this.coordinators.getAddresses(now)) {
      if (address === self.peers) {
        this.addReport(running, message);
        const answer = this.makeGuidance(running);
        if (answer !== undefined) this.receiveGuidance(running, answer, address);
      } else {
        this.coordinators.recordReportSent(address, now);
        send(text, address);
      }
    }
  }

  /** @internal */
  private addReport(running: RunningOrder, message: RolloutMessage & { kind: 'report' }): void {
    const { clock, bound, log } = this.parts;
    const now = clock.now();
    if (running.coordinator === undefined) {
      running.coordinator = new RolloutCoordinator(running.order, bound, now);
      log.write('rollout.coordinating', { order: running.order.id, rank: this.coordinators.rank });
    }
    running.coordinator.addReport(message, now);
  }

  /** @internal */
  private makeGuidance({ order, coordinator }: RunningOrder): GuidanceMessage | undefined {
    if (coordinator === undefined) return undefined;
    const { clock, log, view, getOwnRollout } = this.parts;
    const now = clock.now();
    const previousPhase = coordinator.currentPhase;
    const guidance = coordinator.decide(now, view.vms.size);
    if (coordinator.currentPhase !== previousPhase) {
      const { currentPhase: phase } = coordinator;
      const inputs = coordinator.getInputs(now);
      log.write('rollout.judged', { order: order.id, phase, before: previousPhase, ...inputs });
    }
    const ageMs = Math.round(coordinator.getAge(now));
    // A VM that has been told to stop the version tells so to every VM that reports to it.
    const isStopped = getOwnRollout(order)?.phase === 'stopped';
    if (isStopped) return { kind: 'guidance', order: order.id, ageMs, phase: 'stopped', share: 0 };
    return guidance && { kind: 'guidance', order: order.id, ageMs, ...guidance };
  }

  /** @internal */
  private receiveGuidance(running: RunningOrder, message: GuidanceMessage, address: string): void {
    const { phase, share, routeShares, ageMs } = message;
    const now = this.parts.clock.now();
    running.orderedAt = Math.min(running.orderedAt, now - ageMs);
    running.guidances.set(address, { phase, share, routeShares, receivedAt: now });
    this.applyGuidance(running);
  }

  /**
   * Applies the guidance of the first coordinator that has answered recently, or that of any
   * coordinator which has stopped the version.
   * @internal
   */
  private applyGuidance({ order, guidances }: RunningOrder): void {
    const { clock, onGuidance } = this.parts;
    const now = clock.now();
    const recent = [...guidances.values()].filter(
      ({ receivedAt }) => now - receivedAt < GUIDANCE_VALIDITY_MS,
    );
    const stopGuidance = recent.find(({ phase }) => phase === 'stopped');
    const preferred = this.coordinators
      .getAddresses(now)
      .map((address) => guidances.get(address))
      .find((latest) => latest !== undefined && now - latest.receivedAt < GUIDANCE_VALIDITY_MS);
    const chosen = stopGuidance ?? preferred;
    if (chosen === undefined) return;
    const { receivedAt, ...guidance } = chosen;
    onGuidance(order.id, guidance, receivedAt + GUIDANCE_VALIDITY_MS);
  }
}
