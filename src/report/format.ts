import type { BurnCause, ServiceBurn, WindowBurn } from './BurnReport.js';

/**
 * Formats a share as a percentage.
 * @param share - Usually between 0 and 1; negative for an overspent budget.
 */
export function formatPercent(share: number): string {
  const percent = share * 100;
  return `${Number(percent.toFixed(Math.abs(percent) < 10 ? 2 : 1))}%`;
}

/**
 * Formats a burn rate.
 * @param burn - Burn rate.
 */
export function formatBurn(burn: number): string {
  return burn >= 100 ? burn.toFixed(0) : burn.toFixed(burn >= 10 ? 1 : 2);
}

/**
 * Formats the burn rates of a pair of windows; `!` marks a firing alarm.
 * @param window - Pair of windows.
 */
export function formatWindow({ short, long, firing }: WindowBurn): string {
  return `${formatBurn(short)}/${formatBurn(long)}${firing ? ' !' : ''}`;
}

/**
 * Formats the objective of a service, such as `99% within 100 ms`.
 * @param burn - Burn of the service.
 */
export function formatObjective({ objective }: Pick<ServiceBurn, 'objective'>): string {
  return `${formatPercent(objective.share)} within ${objective.latencyMs} ms`;
}

/**
 * Formats a cause of burn.
 * @param cause - Group of bad requests.
 */
export function formatCause({ outcome, zone, target, requests, share }: BurnCause): string {
  const place = target === undefined ? `zone ${zone}` : `${target} in zone ${zone}`;
  return `${outcome} at ${place}: ${requests} (${formatPercent(share)})`;
}
