import type { BalancerEffect } from './effects.js';
import type { TargetRegistration } from './model.js';

/** Events that are logged with one line for several targets. */
export type TargetListEvent = 'target.added' | 'target.removed' | 'target.draining';

function describeTarget({
  id,
  service,
  version,
  address,
  bornAt,
  zone,
  coldMs,
}: TargetRegistration): string {
  return `${id} ${service} ${version} ${address} ${zone} born ${bornAt} cold ${coldMs}`;
}

/**
 * Logs one line for all targets of a list, since a VM that starts reads hundreds of them at once.
 * @param event - What happened to the targets.
 * @param entries - The targets.
 * @param source - Kind of answer that stated it; undefined if it was read from the store.
 */
export function logTargets(
  event: TargetListEvent,
  entries: readonly TargetRegistration[],
  source?: string,
): BalancerEffect[] {
  if (entries.length === 0) return [];
  const fields = { count: entries.length, targets: entries.map(describeTarget) };
  return [{ kind: 'log', event, fields: source === undefined ? fields : { ...fields, source } }];
}
