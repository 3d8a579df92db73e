export * from './BalancerState.js';
export * from './countTargets.js';
export * from './effects.js';
export * from './events.js';
export * from './model.js';
export { reduceBalancer } from './reduceBalancer.js';
export { findRoute } from './routes.js';
export * from './settings.js';
