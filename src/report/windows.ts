import { DAY_MS, HOUR_MS } from './periods.js';

const MINUTE_MS = 60_000;

/** Urgency of an alarm. */
export type Alarm = 'page' | 'ticket' | 'none';

/**
 * Two windows of one alarm, which fires if both reach the threshold. The long window shows that a
 * significant part of the budget was used, the short one that the burn continues, so that the alarm
 * resolves soon after its cause.
 */
export interface WindowPair {
  readonly name: string;
  readonly shortMs: number;
  readonly longMs: number;
  /** The alarm fires if the burn rate of both windows is at least this. */
  readonly threshold: number;
  readonly alarm: Exclude<Alarm, 'none'>;
}

/** Period of an error budget, in milliseconds. */
export const BUDGET_PERIOD_MS = 30 * DAY_MS;

/** Customary window pairs for a 30-day budget, the most urgent first. */
export const WINDOW_PAIRS: readonly WindowPair[] = [
  { name: '5m/1h', shortMs: 5 * MINUTE_MS, longMs: HOUR_MS, threshold: 14.4, alarm: 'page' },
  { name: '30m/6h', shortMs: 30 * MINUTE_MS, longMs: 6 * HOUR_MS, threshold: 6, alarm: 'page' },
  { name: '2h/1d', shortMs: 2 * HOUR_MS, longMs: DAY_MS, threshold: 3, alarm: 'ticket' },
  { name: '6h/3d', shortMs: 6 * HOUR_MS, longMs: 3 * DAY_MS, threshold: 1, alarm: 'ticket' },
];
