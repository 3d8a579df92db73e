export { CumulativeTest } from './CumulativeTest.js';
export { VersionEvidence } from './evidence.js';
export * from './model.js';
export { RolloutCoordinator } from './RolloutCoordinator.js';
export type { ExposureBound, RolloutInputs } from './RolloutCoordinator.js';
export { VersionJudge } from './VersionJudge.js';
export type { Verdict } from './VersionJudge.js';
export type { EvidenceStep, VersionTest } from './VersionTest.js';
export { WindowTest } from './WindowTest.js';
