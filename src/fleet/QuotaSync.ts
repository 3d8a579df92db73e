import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { FleetView } from './FleetView.js';
import type { NeighbourMonitor } from './NeighbourMonitor.js';

/** Effects of the balancer that send messages about quotas to other VMs. */
export type QuotaEffect = Extract<
  BalancerEffect,
  { kind: 'askQuota' | 'answerQuota' | 'returnQuota' }
>;

/**
 * Whether an effect sends a message about quotas.
 * @param effect - The effect.
 */
export function isQuotaEffect(effect: BalancerEffect): effect is QuotaEffect {
  return ['askQuota', 'answerQuota', 'returnQuota'].includes(effect.kind);
}

/** Dependencies of `QuotaSync`. */
export interface QuotaSyncParts {
  readonly view: Pick<FleetView, 'vms'>;
  readonly log: EventLog;
  readonly neighbours: Pick<NeighbourMonitor, 'send'>;
  dispatch(event: BalancerEvent): void;
}

/** Exchanges messages about quotas with other VMs, one per datagram. */
export class QuotaSync {
  /** @param _parts - Dependencies. */
  constructor(_parts: QuotaSyncParts) {}

  /**
   * Sends the message of an effect to the VM that it names.
   * @param _effect - The effect.
   */
  runEffect(_effect: QuotaEffect): void {}

  /**
   * Handles a datagram if it is about quotas.
   * @param _text - Content of the datagram.
   * @param _address - Peer address of the VM that sent it.
   * @returns Whether it is about quotas.
   */
  receive(_text: string, _address: string): boolean {
    return false;
  }
}
