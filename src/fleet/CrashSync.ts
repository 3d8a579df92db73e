import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { CrashNews, SuspectReport, TargetObservation } from '../crashes/index.js';
import { getRunKey } from '../crashes/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';
import { isCrashMessage, readCrashMessage, writeCrashMessage } from './crashMessages.js';
import type { NeighbourMonitor } from './NeighbourMonitor.js';

/**
 * Delay in which news are batched, in milliseconds. The connections of a target that crashed break
 * one after the other; a copy of the request may arrive at another VM at any moment.
 */
const BATCH_DELAY_MS = 5;

/** Time between two datagrams of a long batch, in milliseconds, so that they do not fill a link. */
const DATAGRAM_INTERVAL_MS = 20;

/** Interval at which news are sent again, in milliseconds. */
const REPEAT_INTERVAL_MS = 1_000;

/** Suspects in a repetition: for VMs that have just started, or missed a datagram. */
const REPEATED_SUSPECTS = 4;

/** Maximum number of suspects in one datagram, and of those that wait for one. */
const MAX_SUSPECTS_PER_DATAGRAM = 12;
const MAX_PENDING_SUSPECTS = 240;

/** Dependencies of `CrashSync`. */
export interface CrashSyncParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly neighbours: Pick<NeighbourMonitor, 'sendToLinked'>;
  /** Returns what is sent again next. */
  getNewsToRepeat(count: number): CrashNews;
  dispatch(event: BalancerEvent): void;
}

/**
 * Exchanges with other VMs which requests were running on targets that crashed. News that change
 * what a VM knows are passed on, so that they reach all VMs.
 */
export class CrashSync {
  /** Suspects of the next datagrams, by fingerprint. @internal */
  private readonly suspects = new Map<string, SuspectReport>();

  /** @internal */
  private readonly alive = new Map<string, TargetObservation>();

  /** @internal */
  private isScheduled = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: CrashSyncParts) {}

  /** Starts to send news again periodically. */
  start(timers: TimerService): void {
    timers.subscribe(REPEAT_INTERVAL_MS, () => {
      this.queue(this.parts.getNewsToRepeat(REPEATED_SUSPECTS));
    });
  }

  /**
   * Sends the news of an effect.
   * @param effect - The effect.
   */
  runEffect({ news }: Extract<BalancerEffect, { kind: 'gossipCrashes' }>): void {
    this.queue(news);
  }

  /**
   * Handles a datagram if it is about crashes; one that can't be decoded is logged.
   * @param text - Content of the datagram.
   * @param address - Peer address of the VM that sent it.
   * @returns Whether it is about crashes.
   */
  receive(text: string, address: string): boolean {
    if (!isCrashMessage(text)) return false;
    try {
      this.parts.dispatch({ kind: 'crashesReported', news: readCrashMessage(text) });
    } catch (err) {
      this.parts.log.write('crashes.unreadable', { address, message: (err as Error).message });
    }
    return true;
  }

  /** @internal */
  private queue({ suspects, alive }: CrashNews): void {
    for (const report of suspects) {
      if (this.suspects.size < MAX_PENDING_SUSPECTS) this.suspects.set(report.fingerprint, report);
    }
    for (const observation of alive) {
      if (this.alive.size >= MAX_PENDING_SUSPECTS) break;
      this.alive.set(getRunKey(observation), observation);
    }
    this.schedule(BATCH_DELAY_MS);
  }

  /** @internal */
  private schedule(delayMs: number): void {
    if (this.isScheduled || this.suspects.size + this.alive.size === 0) return;
    this.isScheduled = true;
    this.parts.clock.after(delayMs, () => {
      this.isScheduled = false;
      this.sendNext();
      this.schedule(DATAGRAM_INTERVAL_MS);
    });
  }

  /** Sends one datagram, those with most evidence first. @internal */
  private sendNext(): void {
    const suspects = [...this.suspects.values()]
      .sort((a, b) => b.crashes.length - a.crashes.length)
      .slice(0, MAX_SUSPECTS_PER_DATAGRAM);
    const alive = [...this.alive.values()].slice(0, MAX_SUSPECTS_PER_DATAGRAM);
    for (const { fingerprint } of suspects) this.suspects.delete(fingerprint);
    for (const observation of alive) this.alive.delete(getRunKey(observation));
    this.parts.neighbours.sendToLinked(writeCrashMessage({ suspects, alive }));
  }
}
