import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { LimitMessage, LimitReport } from '../limits/index.js';
import { getLimitKey } from '../limits/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';
import type { FleetView } from './FleetView.js';
import { isLimitMessage, readLimitMessage, writeLimitMessage } from './limitMessages.js';
import type { NeighbourMonitor } from './NeighbourMonitor.js';

/** Delay in which reports are batched before they are sent, in milliseconds. */
const BATCH_DELAY_MS = 100;

/** Interval at which recently confirmed limits are sent again, in milliseconds. */
const REPEAT_INTERVAL_MS = 1_000;

/** Most reports in one datagram, so that it fits into a packet. */
const MAX_REPORTS_PER_DATAGRAM = 24;

/** Effects of the balancer that send messages about limits to other VMs. */
export type LimitEffect = Extract<
  BalancerEffect,
  { kind: 'askPermit' | 'answerPermit' | 'returnPermit' | 'gossipLimits' }
>;

/** Dependencies of `LimitSync`. */
export interface LimitSyncParts {
  readonly view: Pick<FleetView, 'vms'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly neighbours: Pick<NeighbourMonitor, 'send' | 'sendToAll'>;
  /** Returns the limits that answers of targets have confirmed recently. */
  getFreshReports(): readonly LimitReport[];
  dispatch(event: BalancerEvent): void;
}

/** Exchanges messages about limits of targets with other VMs, one per datagram. */
export class LimitSync {
  /** Reports of the next batch, by `getLimitKey`. @internal */
  private readonly pending = new Map<string, LimitReport>();

  /** @param parts - Dependencies. */
  constructor(private readonly parts: LimitSyncParts) {}

  /** Starts to send confirmed limits periodically. */
  start(timers: TimerService): void {
    timers.subscribe(REPEAT_INTERVAL_MS, () => this.broadcast(this.parts.getFreshReports()));
  }

  /**
   * Sends the message of an effect to the VM that it names, or reports to all neighbours.
   * @param effect - The effect.
   */
  runEffect(effect: LimitEffect): void {
    switch (effect.kind) {
      case 'askPermit':
        this.sendToVm(effect.vm, effect.ask);
        break;
      case 'answerPermit':
        this.send(effect.answer, effect.to);
        break;
      case 'returnPermit':
        this.sendToVm(effect.vm, { kind: 'permitReturn', ...effect.target });
        break;
      default:
        this.queueReports(effect.reports);
    }
  }

  /**
   * Handles a datagram if it is about limits; one that can't be decoded is logged.
   * @param text - Content of the datagram.
   * @param address - Peer address of the VM that sent it.
   * @returns Whether it is about limits.
   */
  receive(text: string, address: string): boolean {
    if (!isLimitMessage(text)) return false;
    try {
      this.parts.dispatch(LimitSync.toEvent(readLimitMessage(text), address));
    } catch (err) {
      this.parts.log.write('permit.unreadable', { address, message: (err as Error).message });
    }
    return true;
  }

  /** @internal */
  private static toEvent(message: LimitMessage, from: string): BalancerEvent {
    switch (message.kind) {
      case 'permitAsk':
        return { kind: 'permitAsked', ask: message, from };
      case 'permitAnswer':
        return { kind: 'permitAnswered', answer: message };
      case 'permitReturn':
        return { kind: 'permitReturned', target: message };
      default:
        return { kind: 'limitsReported', reports: message.reports };
    }
  }

  /** Queues reports for the next batch. @internal */
  private queueReports(reports: readonly LimitReport[]): void {
    if (this.pending.size === 0) this.parts.clock.after(BATCH_DELAY_MS, () => this.flush());
    for (const report of reports) this.pending.set(getLimitKey(report), report);
  }

  /** @internal */
  private flush(): void {
    this.broadcast([...this.pending.values()]);
    this.pending.clear();
  }

  /** @internal */
  private broadcast(reports: readonly LimitReport[]): void {
    for (let i = 0; i < reports.length; i += MAX_REPORTS_PER_DATAGRAM) {
      const batch = reports.slice(i, i + MAX_REPORTS_PER_DATAGRAM);
      this.parts.neighbours.sendToAll(writeLimitMessage({ kind: 'limitNews', reports: batch }));
    }
  }

  /** @internal */
  private sendToVm(vm: string, message: LimitMessage): void {
    // Without an address nothing is sent; the VM counts as silent once its answer is overdue.
    const address = this.parts.view.vms.get(vm)?.peers;
    if (address !== undefined) this.send(message, address);
    else this.parts.log.write('permit.issuerUnknown', { issuer: vm });
  }

  /** @internal */
  private send(message: LimitMessage, address: string): void {
    this.parts.neighbours.send(writeLimitMessage(message), address);
  }
}
