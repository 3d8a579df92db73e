export { PromiseBoard } from './PromiseBoard.js';
export type { PromiseName, Violation } from './PromiseChecker.js';
