import type { EventLog } from '../logging/EventLog.js';
import type { Clock } from '../timing/index.js';
import { sleep } from '../timing/index.js';
import type { StorePosition } from '../core/model/index.js';
import type { FleetStore, Section, WatchAnswer } from './FleetStore.js';
import { SECTIONS, StoreCallError } from './FleetStore.js';
import type { FleetView } from './FleetView.js';
import type { PropagationTimes } from './propagation.js';

/**
 * Time that a watch waits for changes, in milliseconds, of the sections whose changes have more time
 * than those of `FRESHNESS_SECTIONS`. A dead connection is noticed only when a watch does not return
 * in time. Each watch is a billed call, so the wait is as long as these changes allow.
 */
const WATCH_WAIT_MS: Readonly<Record<Exclude<Section, 'configuration' | 'targets'>, number>> = {
  zonesOut: 2_200,
  rollouts: 3_000,
  vms: 5_000,
};

/**
 * Delay before a section is watched again after a change, in milliseconds. Changes come in bursts,
 * and each watch that returns is a billed call. During the release of a service targets come and go
 * for many seconds, and a leaving target continues to serve for seconds after it announced that.
 */
const BATCH_DELAY_MS: Readonly<Record<Section, number>> = {
  configuration: 100,
  targets: 300,
  zonesOut: 100,
  rollouts: 50,
  vms: 300,
};

/** Section that is retried while the store is down; the loops of the others wait for a success. */
const CANARY_SECTION: Section = 'configuration';

/** Pause after a failed call, doubled with each further one, in milliseconds; jitter is added. */
const MIN_RETRY_PAUSE_MS = 40;
const MAX_RETRY_PAUSE_MS = 500;

/** Dependencies of `StoreWatcher`. */
export interface StoreWatcherParts {
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Sections to watch; all by default. */
  readonly sections?: readonly Section[];
  /** Times of the stages by which changes reach all VMs. */
  readonly propagation: PropagationTimes;
  random(): number;
  /** Called after each call that succeeded. */
  onSuccess?(): void;
  /** Called after each failed call. */
  onFailure?(): void;
}

/** Whether all sections are read at once, or the canary section first until the store answers. */
export type WatchStartMode = 'all' | 'canaryFirst';

/** Age of the data for the log; undefined if the store has not confirmed it yet. */
function getRoundedAgeMs(view: FleetView): number | undefined {
  const ageMs = view.confirmations.getAgeMs();
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Keeps a `FleetView` up to date by watching each section of the store. */
export class StoreWatcher {
  /** Positions to watch from; a section without one is listed first. @internal */
  private readonly positions = new Map<Section, StorePosition>();

  /**
   * Delay that preceded the next watch of each section, in milliseconds.
   * @internal
   */
  private readonly batchDelays = new Map<Section, number>();

  /** Incremented by each start and stop, so that loops of earlier runs end. @internal */
  private generation = 0;

  /** @internal */
  private isRunning = false;

  /** Number of failed calls since the last success. @internal */
  private failures = 0;

  /** Callbacks of loops that wait for the store to answer again. @internal */
  private waitingLoops: (() => void)[] = [];

  /** @param parts - Dependencies. */
  constructor(private readonly parts: StoreWatcherParts) {}

  /** Whether the store is being watched. */
  get isActive(): boolean {
    return this.isRunning;
  }

  /**
   * Starts to watch; without effect if it is watching already.
   * @param mode - Whether to read all sections at once.
   */
  start(mode: WatchStartMode = 'all'): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.generation += 1;
    this.positions.clear();
    const { sections = SECTIONS } = this.parts;
    for (const section of sections) this.startLoop(section, this.generation, mode);
  }

  /** Stops watching; results of calls in flight are ignored. */
  stop(): void {
    this.isRunning = false;
    this.generation += 1;
    this.resumeWaiting();
  }

  /** @internal */
  private async startLoop(
    section: Section,
    generation: number,
    mode: WatchStartMode,
  ): Promise<void> {
    if (mode === 'canaryFirst' && section !== CANARY_SECTION) await this.waitForStore();
    await this.runLoop(section, generation);
  }

  /** @internal */
  private async runLoop(section: Section, generation: number): Promise<void> {
    let pauseMs = MIN_RETRY_PAUSE_MS;
    while (this.generation === generation) {
      try {
        await this.readOrWatch(section, generation);
        pauseMs = MIN_RETRY_PAUSE_MS;
      } catch (err) {
        if (this.generation !== generation) return;
        this.recordFailure(section, err as Error);
        const isFirst = pauseMs === MIN_RETRY_PAUSE_MS;
        // Failed calls are billed too, so only the canary section is retried more than once.
        if (isFirst || section === CANARY_SECTION) await this.pauseWithJitter(pauseMs);
        else await this.waitForStore();
        pauseMs = Math.min(MAX_RETRY_PAUSE_MS, pauseMs * 2);
      }
    }
  }

  /** Makes one call: lists the section, or watches it if its position is known. @internal */
  private async readOrWatch(section: Section, generation: number): Promise<void> {
    const { store, view } = this.parts;
    const known = this.positions.get(section);
    if (known === undefined) {
      const { items, position } = await store.list(section);
      if (this.generation !== generation) return;
      this.checkEpoch(section, position);
      this.recordSuccess(section);
      view.confirmations.confirm(section);
      view.apply({ section, items, position, isWhole: true });
      this.positions.set(section, position);
      return;
    }
    // The delay is taken off the wait, so that confirmations keep their interval.
    const waitMs = this.getWatchWaitMs(section) - (this.batchDelays.get(section) ?? 0);
    this.batchDelays.delete(section);
    const answer = await store.watch(section, known, waitMs);
    if (this.generation !== generation) return;
    if (answer !== 'historyGone') this.checkEpoch(section, answer.position);
    this.recordSuccess(section);
    if (answer === 'historyGone' || answer.position.epoch !== known.epoch) {
      this.positions.delete(section);
      this.logLostHistory(section, known, answer);
      return;
    }
    const { items, position } = answer;
    view.confirmations.confirm(section);
    this.positions.set(section, position);
    view.apply({ section, items, position, isWhole: false });
    if (items.length === 0) return;
    this.batchDelays.set(section, BATCH_DELAY_MS[section]);
    await sleep(this.parts.clock, BATCH_DELAY_MS[section]);
  }

  /** @internal */
  private getWatchWaitMs(section: Section): number {
    return section === 'configuration' || section === 'targets'
      ? this.parts.propagation.watchWaitMs
      : WATCH_WAIT_MS[section];
  }

  /**
   * Throws `StoreCallError` if an answer is from before a restore that another call, or another VM,
   * has shown.
   * @internal
   */
  private checkEpoch(section: Section, { epoch }: StorePosition): void {
    const known = this.parts.view.epoch;
    if (epoch >= known) return;
    throw new StoreCallError('outdated', `${section} was read in epoch ${epoch}, before ${known}`);
  }

  /** @internal */
  private logLostHistory(
    section: Section,
    { epoch, revision }: StorePosition,
    answer: WatchAnswer<Section>,
  ): void {
    const { log } = this.parts;
    if (answer === 'historyGone') log.write('store.historyGone', { section, revision });
    else log.write('store.restored', { section, before: epoch, epoch: answer.position.epoch });
  }

  /** @internal */
  private recordSuccess(section: Section): void {
    const { log, view } = this.parts;
    if (this.failures > 0) {
      log.write('store.back', { section, failures: this.failures, ageMs: getRoundedAgeMs(view) });
    }
    this.failures = 0;
    this.parts.onSuccess?.();
    this.resumeWaiting();
  }

  /** @internal */
  private recordFailure(section: Section, err: Error): void {
    this.failures += 1;
    this.parts.view.confirmations.recordStoreFailure();
    const failure = err instanceof StoreCallError ? err.failure : 'unexpected';
    const { log, view } = this.parts;
    log.write('store.callFailed', {
      section,
      failure,
      message: err.message,
      ageMs: getRoundedAgeMs(view),
    });
    this.parts.onFailure?.();
  }

  /** @internal */
  private resumeWaiting(): void {
    const { waitingLoops: loops } = this;
    this.waitingLoops = [];
    for (const resumeLoop of loops) resumeLoop();
  }

  /** @internal */
  private waitForStore(): Promise<void> {
    return new Promise((resolve) => {
      this.waitingLoops.push(resolve);
    });
  }

  /** @internal */
  private pauseWithJitter(ms: number): Promise<void> {
    return sleep(this.parts.clock, ms * (0.5 + this.parts.random()));
  }
}
