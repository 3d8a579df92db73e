export { FLUSH_PERIOD_MS, getFlushPeriodMs, REPORT_STORE_SHARE } from './flushPeriod.js';
export type { Counts, ServiceLevelOutcome } from './counters.js';
export { ServiceLevelRecorder } from './ServiceLevelRecorder.js';
export type { RequestOutcome, ServiceLevelRecorderOptions } from './ServiceLevelRecorder.js';
export { ServiceLevelStore } from './ServiceLevelStore.js';
export type { ServiceLevelHistory } from './ServiceLevelStore.js';
