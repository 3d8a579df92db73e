import type { BalancerEffect } from './effects.js';
import type { NamedLimit } from './model.js';
import type { TargetRecord } from './TargetRecord.js';

/**
 * Notes what an answer says of the requests a second that its target takes.
 * @param record - The target; changed here.
 * @param limit - What the answer names.
 */
export function noteLimit(record: TargetRecord, limit: NamedLimit): BalancerEffect[] {
  const { id: target, service } = record.entry;
  if (limit === 'unreadable') {
    return [{ kind: 'log', event: 'target.limitUnreadable', fields: { target, service } }];
  }
  const before = record.limitPerSecond;
  if (limit === before) return [];
  record.limitPerSecond = limit;
  if (limit === undefined) {
    return [{ kind: 'log', event: 'target.unlimited', fields: { target, service, before } }];
  }
  const fields = { target, service, perSecond: limit, before };
  return [{ kind: 'log', event: 'target.limited', fields }];
}
