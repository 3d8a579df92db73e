export { chooseTarget } from './chooseTarget.js';
export { applyHandover, getHandover } from './handover.js';
export { targetsPart } from './targetsPart.js';
export { createTargetsState } from './TargetsState.js';
export type { TargetRecord, TargetsState } from './TargetsState.js';
