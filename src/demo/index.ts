export { DemoError } from './errors.js';
export type { DemoOptions, DemoProgress, DemoResult } from './runDemo.js';
export { runDemo } from './runDemo.js';
