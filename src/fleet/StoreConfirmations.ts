import type { Clock } from '../timing/index.js';
import type { Section } from './FleetStore.js';
import type { Confirmation } from './sectionChanges.js';
import { isStoreOutage } from './storeOutage.js';

/** Sections that have to be confirmed for the data of a VM to count as fresh. */
export const FRESHNESS_SECTIONS: readonly Section[] = ['configuration', 'targets'];

/**
 * Records when the store has confirmed what this VM knows, to this VM or to one that it follows, and
 * notices outages of the store.
 */
export class StoreConfirmations {
  /** When the store last confirmed each section; monotonic milliseconds. @internal */
  private readonly confirmedAt = new Map<Section, number>();

  /** When a call of this VM to the store last failed; monotonic milliseconds. @internal */
  private storeFailedAt = Number.NEGATIVE_INFINITY;

  /** When the store last answered again after an outage; monotonic milliseconds. @internal */
  private recoveredAt = Number.NEGATIVE_INFINITY;

  /** @internal */
  private latestConfirmation: Confirmation | undefined;

  /** Number of the latest confirmation of each origin. @internal */
  private readonly latestCounts = new Map<string, number>();

  /** @internal */
  private readonly listeners: (() => void)[] = [];

  /**
   * @param clock - Source of monotonic time.
   * @param origin - Identifies this run of the process in confirmations.
   */
  constructor(
    private readonly clock: Clock,
    private readonly origin = 'self',
  ) {}

  /** Latest known confirmation by the store; undefined if there was none. */
  get latest(): Confirmation | undefined {
    return this.latestConfirmation;
  }

  /** When the store last answered again after an outage; monotonic milliseconds. */
  get storeRecoveredAt(): number {
    return this.recoveredAt;
  }

  /**
   * Adds a listener for confirmations by the store.
   * @param listener - Called after a new confirmation was recorded.
   */
  onConfirm(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Time since the store confirmed the least recently confirmed of `FRESHNESS_SECTIONS`, in
   * milliseconds; infinite if one of them was never confirmed.
   */
  getAgeMs(): number {
    const times = FRESHNESS_SECTIONS.map((section) => this.confirmedAt.get(section));
    const oldest = Math.min(...times.map((at) => at ?? Number.NEGATIVE_INFINITY));
    return this.clock.now() - oldest;
  }

  /**
   * Records that the store has just confirmed a section to this VM.
   * @param section - The section.
   */
  confirm(section: Section): void {
    this.recordConfirmedAt(section, this.clock.now());
    if (section !== 'targets') return;
    const count = (this.latestCounts.get(this.origin) ?? 0) + 1;
    this.recordConfirmation({ origin: this.origin, count });
  }

  /** Records that a call of this VM to the store has failed. */
  recordStoreFailure(): void {
    this.storeFailedAt = this.clock.now();
  }

  /** Records that the store has been restored from a copy, in which entries may have expired. */
  recordRestore(): void {
    this.recoveredAt = this.clock.now();
  }

  /**
   * Records a confirmation that another VM reported; ignored if it is not new.
   * @param confirmation - The confirmation.
   * @param at - Estimated time of the confirmation by the store; monotonic milliseconds.
   */
  confirmFromPeer(confirmation: Confirmation, at: number): void {
    if (confirmation.count <= (this.latestCounts.get(confirmation.origin) ?? 0)) return;
    for (const section of FRESHNESS_SECTIONS) this.recordConfirmedAt(section, at);
    this.recordConfirmation(confirmation);
  }

  /** @internal */
  private recordConfirmation(confirmation: Confirmation): void {
    this.latestCounts.set(confirmation.origin, confirmation.count);
    this.latestConfirmation = confirmation;
    for (const listener of this.listeners) listener();
  }

  /** @internal */
  private recordConfirmedAt(section: Section, at: number): void {
    const previous = this.confirmedAt.get(section);
    if (previous !== undefined && at <= previous) return;
    this.confirmedAt.set(section, at);
    if (section !== 'targets' || previous === undefined) return;
    if (isStoreOutage(previous, at, this.storeFailedAt)) this.recoveredAt = at;
  }
}
