import type { BalancerEvent, OutcomeReport } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { TimerService } from '../timing/index.js';
import type { NeighbourMonitor } from './NeighbourMonitor.js';
import { isOutcomeMessage, readOutcomeMessage, writeOutcomeMessage } from './outcomeMessages.js';

/** Interval at which outcomes are sent, in milliseconds. */
const REPORT_INTERVAL_MS = 300;

/** Most targets in one datagram, which is all that is sent in an interval. */
const MAX_REPORTS = 5;

/** Dependencies of `OutcomeSync`. */
export interface OutcomeSyncParts {
  readonly log: EventLog;
  readonly neighbours: Pick<NeighbourMonitor, 'sendToLinked'>;
  /** Returns what to tell other VMs next. */
  takeReports(count: number): readonly OutcomeReport[];
  dispatch(event: BalancerEvent): void;
}

/**
 * Exchanges with other VMs how attempts at targets have ended. Each VM sees a small part of the
 * requests, and a request that may not run twice is lost where a target fails it. Nothing is sent
 * while no target fails.
 */
export class OutcomeSync {
  /** @param parts - Dependencies. */
  constructor(private readonly parts: OutcomeSyncParts) {}

  /** Starts to send outcomes periodically. */
  start(timers: TimerService): void {
    timers.subscribe(REPORT_INTERVAL_MS, () => {
      const reports = this.parts.takeReports(MAX_REPORTS);
      if (reports.length === 0) return;
      this.parts.neighbours.sendToLinked(writeOutcomeMessage(reports));
    });
  }

  /**
   * Handles a datagram if it is about outcomes; one that can't be decoded is logged.
   * @param text - Content of the datagram.
   * @param address - Peer address of the VM that sent it.
   * @returns Whether it is about outcomes.
   */
  receive(text: string, address: string): boolean {
    if (!isOutcomeMessage(text)) return false;
    try {
      const reports = readOutcomeMessage(text);
      this.parts.dispatch({ kind: 'outcomesReported', from: address, reports });
    } catch (err) {
      this.parts.log.write('outcomes.unreadable', { address, message: (err as Error).message });
    }
    return true;
  }
}
