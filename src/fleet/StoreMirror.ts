import type { EventLog } from '../logging/EventLog.js';
import type { Clock } from '../timing/index.js';
import { sleep } from '../timing/index.js';
import type { FleetStore, Section } from './FleetStore.js';
import { SECTIONS, StoreCallError } from './FleetStore.js';
import type { FleetView } from './FleetView.js';

/**
 * How long one watch waits, in milliseconds. A connection that went silent is noticed only when a
 * watch does not end in time, so this bounds how late a change is known that two seconds are
 * allowed for. Each watch is a call that the users pay for.
 */
const WATCH_MS: Readonly<Record<Section, number>> = {
  configuration: 900,
  targets: 900,
  zonesOut: 2_200,
  rollouts: 3_000,
  vms: 5_000,
};

/**
 * After changes a section is not watched again before, in milliseconds. Changes come in groups, and
 * each watch that ends is a call. Targets come and go one after the other for many seconds while a
 * service is released; they serve on for seconds after they said that they leave.
 */
const GATHER_MS: Readonly<Record<Section, number>> = {
  configuration: 100,
  targets: 300,
  zonesOut: 100,
  rollouts: 50,
  vms: 300,
};

/** The section whose calls go on while the store fails; the others wait until one succeeds. */
const CANARY: Section = 'configuration';

/** Pauses between failed calls, doubled each time, in milliseconds; a part of it is by chance. */
const PAUSE_LEAST_MS = 40;
const PAUSE_MOST_MS = 500;

/** What a mirror works with. */
export interface StoreMirrorParts {
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
  /** What is watched; all of it if left out. */
  readonly sections?: readonly Section[];
  random(): number;
  /** Told of each call that gave nothing. */
  onFailure?(): void;
}

/** Which sections are read at once: all, or one until the store has answered. */
export type MirrorStart = 'all' | 'canaryFirst';

/** Age of what is known, for the log; undefined if nothing is. */
function getAge(view: FleetView): number | undefined {
  const ageMs = view.getAgeMs();
  return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
}

/** Follows the store's content by watching each section of it. */
export class StoreMirror {
  /** Revisions to watch from; a section without one is read as a whole. @internal */
  private readonly revisions = new Map<Section, number>();

  /** How long each section's changes were gathered before the watch that is next, in ms. @internal */
  private readonly gatheredMs = new Map<Section, number>();

  /** Grows with each start and stop, so that loops of earlier runs end. @internal */
  private run = 0;

  /** @internal */
  private isRunning = false;

  /** @internal */
  private failures = 0;

  /** Loops that wait for the store to answer again. @internal */
  private waiting: (() => void)[] = [];

  /** @param parts - What the mirror works with. */
  constructor(private readonly parts: StoreMirrorParts) {}

  /** Whether the store is being watched. */
  get isActive(): boolean {
    return this.isRunning;
  }

  /**
   * Begins to watch; nothing happens if it does already.
   * @param how - Whether one section alone finds out first that the store answers.
   */
  start(how: MirrorStart = 'all'): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.run += 1;
    this.revisions.clear();
    const { sections = SECTIONS } = this.parts;
    for (const section of sections) this.begin(section, this.run, how);
  }

  /** Ends all watches once they return. */
  stop(): void {
    this.isRunning = false;
    this.run += 1;
    this.resume();
  }

  /** @internal */
  private async begin(section: Section, run: number, how: MirrorStart): Promise<void> {
    if (how === 'canaryFirst' && section !== CANARY) await this.waitForStore();
    await this.follow(section, run);
  }

  /** @internal */
  private async follow(section: Section, run: number): Promise<void> {
    let pauseMs = PAUSE_LEAST_MS;
    while (this.run === run) {
      try {
        await this.step(section, run);
        pauseMs = PAUSE_LEAST_MS;
      } catch (err) {
        if (this.run !== run) return;
        this.noteFailure(section, err as Error);
        const isFirst = pauseMs === PAUSE_LEAST_MS;
        // Calls to a store that is down are paid for too, so one section alone goes on trying.
        if (isFirst || section === CANARY) await this.pause(pauseMs);
        else await this.waitForStore();
        pauseMs = Math.min(PAUSE_MOST_MS, pauseMs * 2);
      }
    }
  }

  /** One call to the store. @internal */
  private async step(section: Section, run: number): Promise<void> {
    const { store, view } = this.parts;
    const known = this.revisions.get(section);
    if (known === undefined) {
      const { items, revision } = await store.list(section);
      if (this.run !== run) return;
      this.noteAnswer(section);
      view.confirm(section);
      view.apply({ section, items, revision, isWhole: true });
      this.revisions.set(section, revision);
      return;
    }
    // Gathering is a part of the time that a watch may take, so that confirmations come as often.
    const waitMs = WATCH_MS[section] - (this.gatheredMs.get(section) ?? 0);
    this.gatheredMs.delete(section);
    const answer = await store.watch(section, known, waitMs);
    if (this.run !== run) return;
    this.noteAnswer(section);
    if (answer === 'historyGone') {
      this.revisions.delete(section);
      this.parts.log.write('store.historyGone', { section, revision: known });
      return;
    }
    view.confirm(section);
    this.revisions.set(section, answer.revision);
    view.apply({ section, items: answer.items, revision: answer.revision, isWhole: false });
    if (answer.items.length === 0) return;
    this.gatheredMs.set(section, GATHER_MS[section]);
    await sleep(this.parts.clock, GATHER_MS[section]);
  }

  /** @internal */
  private noteAnswer(section: Section): void {
    const { log, view } = this.parts;
    if (this.failures > 0) {
      log.write('store.back', { section, failures: this.failures, ageMs: getAge(view) });
    }
    this.failures = 0;
    this.resume();
  }

  /** @internal */
  private noteFailure(section: Section, err: Error): void {
    this.failures += 1;
    const failure = err instanceof StoreCallError ? err.failure : 'unexpected';
    const { log, view } = this.parts;
    log.write('store.callFailed', { section, failure, message: err.message, ageMs: getAge(view) });
    this.parts.onFailure?.();
  }

  /** @internal */
  private resume(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const go of waiting) go();
  }

  /** @internal */
  private waitForStore(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }

  /** @internal */
  private pause(ms: number): Promise<void> {
    return sleep(this.parts.clock, ms * (0.5 + this.parts.random()));
  }
}
