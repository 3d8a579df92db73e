export type { LabPlan, Rejecting, RoutePlan, Surge, TargetsPlan } from './LabPlan.js';
export { makePlan, makeRoute, makeTargets } from './LabPlan.js';
export type { LabRecord, LabScore } from './LabRecord.js';
export { getWorth, scoreLab } from './LabRecord.js';
export { LAB_PLANS } from './plans.js';
export type { LabResult } from './playLab.js';
export { playLab } from './playLab.js';
