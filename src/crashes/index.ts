export { CrashLedger, MIN_CRASHES_TO_REFUSE } from './CrashLedger.js';
export * from './model.js';
