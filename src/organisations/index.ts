export type { Access } from './authenticate.js';
export { authenticate } from './authenticate.js';
export { digestApiKey } from './digestApiKey.js';
export { KeyDirectory } from './KeyDirectory.js';
