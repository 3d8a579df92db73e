import type { EntryVmId, StoreEntry } from '../core/index.js';
import { hashText } from '../core/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

import type { Buckets, Series } from './counters.js';
import { addBuckets, addToSeries, BUCKETS_PER_HOUR } from './counters.js';
import {
  DAY_MS,
  DAYS_PREFIX,
  getBucketIndex,
  getDayName,
  getHourName,
  getHourStart,
  HOURS_PREFIX,
} from './periods.js';
import type { ServiceLevelRecorder } from './ServiceLevelRecorder.js';

/** Value of the store object `report/hours/HOUR`, to which all entry VMs add their counts. */
export interface HourObject {
  /** Series by minute of the hour. */
  readonly buckets: Buckets;
  /**
   * Number of the last addition of each entry VM. Shows whether an addition took effect if the store's
   * answer to it was lost.
   */
  readonly writers: Record<EntryVmId, number>;
}

/** Value of the store object `report/days/DAY`: totals of hours whose counts by minute were dropped. */
export interface DayObject {
  readonly series: Series;
  /** Hours already included, which makes adding an hour idempotent. */
  readonly hours: readonly string[];
}

/** All counts in the store: recent hours by the minute, older ones as daily totals. */
export interface ServiceLevelHistory {
  readonly hours: Readonly<Record<string, Buckets>>;
  readonly days: Readonly<Record<string, Series>>;
}

/** Counts of one hour to add to the store. */
interface Addition {
  readonly hour: string;
  readonly buckets: Buckets;
  readonly number: number;
}

/** Attempts to write one addition in one flush. */
const MAX_ATTEMPTS = 2;

/** Days for which counts are stored by the minute. */
const MINUTE_RETENTION_DAYS = 4;

/** Days for which daily totals are stored. */
const RETENTION_DAYS = 31;

/** Older days searched for hours that were not rolled up because of an outage. */
const ROLL_UP_LOOKBACK_DAYS = 3;

/**
 * Hours rolled up per day searched, and expired days deleted, in one run, so that a backlog cannot
 * exhaust the store's budget.
 */
const MAX_ROLL_UPS = 2;

/**
 * Adds the counters of an entry VM to store objects that all entry VMs share, since VMs have no
 * persistent storage. If the store's answer is lost after an addition took effect, repeating it would
 * count requests twice. Each addition is therefore numbered, and the number of the last one that took
 * effect is read before writing.
 */
export class ServiceLevelStore {
  /** @internal */
  private pending?: Addition;

  /** @internal */
  private additions = 0;

  /** @internal */
  private lastRollUpHour?: string;

  /**
   * The last flush started. The next one waits for it, since concurrent flushes could add the same
   * counts twice.
   * @internal
   */
  private flushing: Promise<boolean> = Promise.resolve(true);

  /**
   * @param store - Client of the object store.
   * @param self - Id of this run of the entry process.
   * @example
   * const levels = new ServiceLevelStore(storeClient, settings.core.self.id);
   * const stored = await levels.flush(recorder, Date.now());
   */
  constructor(
    private readonly store: StoreCaller,
    private readonly self: EntryVmId,
  ) {}

  /**
   * Writes the recorder's counts to the store, with at most four calls per hour that has counts.
   * @param recorder - Recorder whose counts are taken.
   * @param wallNow - Milliseconds since 1970.
   * @returns Whether all counts were stored.
   */
  flush(recorder: ServiceLevelRecorder, wallNow: number): Promise<boolean> {
    this.flushing = this.flushing.then(() => this.flushNow(recorder, wallNow));
    return this.flushing;
  }

  /** @internal */
  private async flushNow(recorder: ServiceLevelRecorder, wallNow: number): Promise<boolean> {
    if (this.pending && !(await this.addToHour(this.pending))) return false;
    for (const hour of recorder.getHours()) {
      const buckets = recorder.take(hour);
      if (!buckets) continue;
      this.additions += 1;
      this.pending = { hour, buckets, number: this.additions };
      if (!(await this.addToHour(this.pending))) return false;
    }
    await this.rollUp(wallNow);
    return true;
  }

  /**
   * Reads all counts from the store.
   * @param wallNow - Milliseconds since 1970.
   * @returns Undefined if the store could not be read.
   */
  async read(wallNow: number): Promise<ServiceLevelHistory | undefined> {
    const hours: Record<string, Buckets> = {};
    for (let back = 0; back < MINUTE_RETENTION_DAYS + 1; back += 1) {
      const prefix = `${HOURS_PREFIX}${getDayName(wallNow - back * DAY_MS)}`;
      const result = await this.store.call({ op: 'list', prefix });
      if (result.kind !== 'listed') return undefined;
      for (const { key, value } of result.entries) {
        hours[key.slice(HOURS_PREFIX.length)] = (value as HourObject).buckets;
      }
    }
    const result = await this.store.call({ op: 'list', prefix: DAYS_PREFIX });
    if (result.kind !== 'listed') return undefined;
    const days = result.entries.map(({ key, value }) => {
      const { series, hours: included } = value as DayObject;
      // Between the two writes of a roll-up an hour is stored in both places; the day's copy counts.
      for (const hour of included) delete hours[hour];
      return [key.slice(DAYS_PREFIX.length), series] as const;
    });
    return { hours, days: Object.fromEntries(days) };
  }

  /** @internal */
  private async addToHour(addition: Addition): Promise<boolean> {
    const key = `${HOURS_PREFIX}${addition.hour}`;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const read = await this.store.call({ op: 'get', key });
      if (read.kind !== 'found' && read.kind !== 'missing') return false;
      const { buckets = {}, writers = {} } =
        read.kind === 'found' ? (structuredClone(read.entry.value) as HourObject) : {};
      if ((writers[this.self] ?? 0) >= addition.number) return this.clearPending();
      addBuckets(buckets, addition.buckets);
      const value: HourObject = { buckets, writers: { ...writers, [this.self]: addition.number } };
      const expect = read.kind === 'found' ? read.entry.version : 0;
      const written = await this.store.call({ op: 'put', key, value, expect });
      if (written.kind === 'written') return this.clearPending();
      if (written.kind !== 'conflict') return false;
    }
    return false;
  }

  /** @internal */
  private clearPending(): true {
    this.pending = undefined;
    return true;
  }

  /**
   * Moves hours that are past the per-minute retention to the totals of their day. Runs once an hour, from
   * a minute derived from this VM's id, so that the entry VMs do not all call the store at the same time.
   * @internal
   */
  private async rollUp(wallNow: number): Promise<void> {
    const hour = getHourName(wallNow);
    const minute = hashText(this.self) % BUCKETS_PER_HOUR;
    if (this.lastRollUpHour === hour || getBucketIndex(wallNow) < minute) return;
    this.lastRollUpHour = hour;
    for (
      let back = MINUTE_RETENTION_DAYS;
      back < MINUTE_RETENTION_DAYS + ROLL_UP_LOOKBACK_DAYS;
      back += 1
    ) {
      const prefix = `${HOURS_PREFIX}${getDayName(wallNow - back * DAY_MS)}`;
      const old = await this.store.call({ op: 'list', prefix });
      if (old.kind !== 'listed') return;
      for (const entry of old.entries.slice(0, MAX_ROLL_UPS)) await this.moveToDay(entry);
    }
    await this.deleteOldDays(wallNow);
  }

  /** @internal */
  private async moveToDay({ key, value, version }: StoreEntry): Promise<void> {
    const moved = await this.addToDay(
      key.slice(HOURS_PREFIX.length),
      (value as HourObject).buckets,
    );
    if (moved) await this.store.call({ op: 'delete', key, expect: version });
  }

  /** @internal */
  private async addToDay(hour: string, buckets: Buckets): Promise<boolean> {
    const key = `${DAYS_PREFIX}${getDayName(getHourStart(hour))}`;
    const read = await this.store.call({ op: 'get', key });
    if (read.kind !== 'found' && read.kind !== 'missing') return false;
    const { series = {}, hours = [] } =
      read.kind === 'found' ? (structuredClone(read.entry.value) as DayObject) : {};
    if (hours.includes(hour)) return true;
    for (const counts of Object.values(buckets)) {
      for (const [name, added] of Object.entries(counts)) addToSeries(series, name, added);
    }
    const value: DayObject = { series, hours: [...hours, hour] };
    const expect = read.kind === 'found' ? read.entry.version : 0;
    const written = await this.store.call({ op: 'put', key, value, expect });
    return written.kind === 'written';
  }

  /** @internal */
  private async deleteOldDays(wallNow: number): Promise<void> {
    const oldest = getDayName(wallNow - RETENTION_DAYS * DAY_MS);
    const days = await this.store.call({ op: 'list', prefix: DAYS_PREFIX });
    if (days.kind !== 'listed') return;
    const expired = days.entries.filter(({ key }) => key.slice(DAYS_PREFIX.length) < oldest);
    for (const { key, version } of expired.slice(0, MAX_ROLL_UPS)) {
      await this.store.call({ op: 'delete', key, expect: version });
    }
  }
}
