import type { EntryState } from '../EntryState.js';
import type { ServiceConfig } from '../model/index.js';
import type { RetryBudget } from './ProtectionState.js';

/** Most tokens that a service can accumulate, which bounds the retries of a burst of failures. */
const MAX_TOKENS = 10;
/** Retry tokens at the start, so that the first failures after a start can be retried. */
const INITIAL_RETRY_TOKENS = 2;

function getBudget(state: EntryState, service: ServiceConfig): RetryBudget {
  let budget = state.protection.budgets.get(service.name);
  if (budget === undefined) {
    budget = { retries: INITIAL_RETRY_TOKENS, hedges: 0 };
    state.protection.budgets.set(service.name, budget);
  }
  return budget;
}

/**
 * Adds the tokens that an arrived request earns: a fraction of a retry and of a hedge.
 * @param state - The process's state.
 * @param service - The service.
 */
export function addRetryTokens(state: EntryState, service: ServiceConfig): void {
  const budget = getBudget(state, service);
  const { retryShare, hedgeShare } = service.repeat;
  budget.retries = Math.min(MAX_TOKENS, budget.retries + retryShare);
  budget.hedges = Math.min(MAX_TOKENS, budget.hedges + hedgeShare);
}

/**
 * Takes a retry from a service's budget.
 *
 * Without a budget, failing targets would get each request several times, just when their capacity
 * is lowest: the load would rise as the answers stop.
 * @param state - The process's state.
 * @param service - The service.
 * @returns Whether a retry was left.
 */
export function tryTakeRetry(state: EntryState, service: ServiceConfig): boolean {
  const budget = getBudget(state, service);
  if (budget.retries < 1) return false;
  budget.retries -= 1;
  return true;
}

/**
 * Whether a service's budget allows a hedge now.
 * @param state - The process's state.
 * @param service - The service.
 */
export function canHedge(state: EntryState, service: ServiceConfig): boolean {
  return getBudget(state, service).hedges >= 1;
}

/**
 * Takes a hedge from a service's budget.
 * @param state - The process's state.
 * @param service - The service.
 */
export function takeHedge(state: EntryState, service: ServiceConfig): void {
  getBudget(state, service).hedges -= 1;
}
