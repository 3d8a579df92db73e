export { ConsolaLogger } from './ConsolaLogger.js';
export type { ConsolaLoggerOptions, LogStream } from './ConsolaLogger.js';
export type { Logger } from './Logger.js';
