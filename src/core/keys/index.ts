export { claimKey } from './claimKey.js';
export { keysPart } from './keysPart.js';
export { createKeysState } from './KeysState.js';
export type { KeysState } from './KeysState.js';
