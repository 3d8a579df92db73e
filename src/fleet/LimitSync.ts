import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { LimitMessage, LimitReport } from '../limits/index.js';
import { getLimitKey } from '../limits/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';
import type { FleetView } from './FleetView.js';
import { isLimitMessage, readLimitMessage, writeLimitMessage } from './limitMessages.js';
import type { Neighbours } from './Neighbours.js';

/** News are collected for so long before they are told, in milliseconds. */
const COLLECT_MS = 100;

/** How often limits that were confirmed are told again, in milliseconds. */
const AGAIN_MS = 1_000;

/** Reports in one datagram, so that it fits into a packet. */
const REPORTS_MOST = 24;

/** What the balancer has to say to other VMs about limits. */
export type LimitEffect = Extract<
  BalancerEffect,
  { kind: 'askPermit' | 'answerPermit' | 'returnPermit' | 'gossipLimits' }
>;

/** What the synchronisation works with. */
export interface LimitSyncParts {
  readonly view: Pick<FleetView, 'vms'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly neighbours: Pick<Neighbours, 'send' | 'sendToAll'>;
  /** Limits that answers have confirmed a moment ago. */
  getFreshReports(): readonly LimitReport[];
  dispatch(event: BalancerEvent): void;
}

/** Carries what VMs tell each other about limits of targets, one datagram a message. */
export class LimitSync {
  /** Reports to be told, by target. @internal */
  private readonly news = new Map<string, LimitReport>();

  /** @param parts - What the synchronisation works with. */
  constructor(private readonly parts: LimitSyncParts) {}

  /** Begins to tell news. */
  start(timers: TimerService): void {
    timers.subscribe(AGAIN_MS, () => this.tell(this.parts.getFreshReports()));
  }

  /** Tells another VM, or some, what the balancer has to say. */
  run(effect: LimitEffect): void {
    switch (effect.kind) {
      case 'askPermit':
        this.sendTo(effect.vm, effect.ask);
        break;
      case 'answerPermit':
        this.send(effect.answer, effect.to);
        break;
      case 'returnPermit':
        this.sendTo(effect.vm, { kind: 'permitReturn', ...effect.target });
        break;
      default:
        this.collect(effect.reports);
    }
  }

  /**
   * Takes a datagram.
   * @param text - What it says.
   * @param address - Peer address of the VM that sent it.
   * @returns Whether it is about limits.
   */
  take(text: string, address: string): boolean {
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

  /** Tells reports soon, those of a while together. @internal */
  private collect(reports: readonly LimitReport[]): void {
    if (this.news.size === 0) this.parts.clock.after(COLLECT_MS, () => this.tellNews());
    for (const report of reports) this.news.set(getLimitKey(report), report);
  }

  /** @internal */
  private tellNews(): void {
    this.tell([...this.news.values()]);
    this.news.clear();
  }

  /** @internal */
  private tell(reports: readonly LimitReport[]): void {
    for (let i = 0; i < reports.length; i += REPORTS_MOST) {
      const some = reports.slice(i, i + REPORTS_MOST);
      this.parts.neighbours.sendToAll(writeLimitMessage({ kind: 'limitNews', reports: some }));
    }
  }

  /** @internal */
  private sendTo(vm: string, message: LimitMessage): void {
    // A VM whose address is not known yet counts as silent once its answer is overdue.
    const address = this.parts.view.vms.get(vm)?.peers;
    if (address !== undefined) this.send(message, address);
    else this.parts.log.write('permit.issuerUnknown', { vm });
  }

  /** @internal */
  private send(message: LimitMessage, address: string): void {
    this.parts.neighbours.send(writeLimitMessage(message), address);
  }
}
