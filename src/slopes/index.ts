export { fitLine } from './fitLine.js';
export type { FittedLine, SlopePoint } from './fitLine.js';
export { measureSlope } from './Slope.js';
export type { Role, Slope } from './Slope.js';
