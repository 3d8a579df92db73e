export { EntryProcess } from './EntryProcess.js';
export type { EntryOptions } from './EntryProcess.js';
export { EntryError, StartError } from './errors.js';
