export type { CancelTimer, Clock } from './Clock.js';
export { SystemClock } from './SystemClock.js';
export { TimerService } from './TimerService.js';
export { sleep } from './sleep.js';
