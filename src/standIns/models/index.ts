export { createRandom, drawLognormal } from './random.js';
export { StoreModel } from './StoreModel.js';
export type { StoreFaults, StoreModelOptions, StoreReply, StoreCallCounts } from './StoreModel.js';
export { TargetModel } from './TargetModel.js';
export type {
  TargetFaults,
  TargetListener,
  TargetModelOptions,
  TargetReport,
  TargetRequest,
  TargetStart,
} from './TargetModelOptions.js';
export { VmListModel } from './VmListModel.js';
