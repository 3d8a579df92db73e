export { DEMAND_PLANS } from './demandPlans.js';
export type { LabOrganisation } from './labOrganisations.js';
export { makeOrganisations } from './labOrganisations.js';
export type {
  DemandWave,
  LabPlan,
  LongRequests,
  OrganisationsPlan,
  OrganisationSurge,
  RejectionPeriod,
  RoutePlan,
  Surge,
  TargetsPlan,
  ZonesPlan,
} from './LabPlan.js';
export { makePlan, makeRoute, makeTargets } from './LabPlan.js';
export type { LabRecord, LabScore } from './LabRecord.js';
export { getOverallScore, scoreLab } from './LabRecord.js';
export type { LimitArrival, LimitChange, LimitWindow } from './limitWindows.js';
export { findWorstWindows } from './limitWindows.js';
export { DRAIN_PLANS, LAB_PLANS, LIMIT_PLANS, PAUSE_PLANS } from './plans.js';
export type { PauseRequest, StatementObservations } from './statementChecks.js';
export { findBrokenPauses, findLateArrivals } from './statementChecks.js';
export type { QuotaTry, QuotaWindow } from './quotaWindows.js';
export { countRefusedWithinQuota, findWorstQuotaWindows } from './quotaWindows.js';
export type { GroupScores } from './scoreGroups.js';
export { scoreGroups } from './scoreGroups.js';
export type { DemandSummary } from './summarizeDemand.js';
export type { LabResult } from './playLab.js';
export { playLab } from './playLab.js';
export type { RolloutResult } from './playRollout.js';
export { playRollout } from './playRollout.js';
export type { VersionFault, RolloutPlan } from './RolloutPlan.js';
export { makeRolloutPlan, ROLLOUT_PLANS } from './RolloutPlan.js';
