export type { CrashLedgerOptions } from './CrashLedger.js';
export { CrashLedger } from './CrashLedger.js';
export * from './model.js';
