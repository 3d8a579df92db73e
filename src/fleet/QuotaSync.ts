import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { FleetView } from './FleetView.js';
import type { NeighbourMonitor } from './NeighbourMonitor.js';
import type { QuotaMessage } from './quotaMessages.js';
import { isQuotaMessage, readQuotaMessage, writeQuotaMessage } from './quotaMessages.js';

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
  /** @param parts - Dependencies. */
  constructor(private readonly parts: QuotaSyncParts) {}

  /**
   * Sends the message of an effect to the VM that it names.
   * @param effect - The effect.
   */
  runEffect(effect: QuotaEffect): void {
    switch (effect.kind) {
      case 'askQuota':
        this.sendToVm(effect.vm, { kind: 'ask', ...effect.ask });
        break;
      case 'answerQuota':
        this.send({ kind: 'answer', ...effect.answer }, effect.to);
        break;
      default:
        this.sendToVm(effect.vm, { kind: 'return', organisation: effect.organisation });
    }
  }

  /**
   * Handles a datagram if it is about quotas. One from an address that is not in the list of VMs is
   * ignored; one that can't be decoded is logged.
   * @param text - Content of the datagram.
   * @param address - Peer address of the VM that sent it.
   * @returns Whether it is about quotas.
   */
  receive(text: string, address: string): boolean {
    if (!isQuotaMessage(text)) return false;
    if (!this.isListed(address)) return true;
    try {
      this.parts.dispatch(QuotaSync.toEvent(readQuotaMessage(text), address));
    } catch (err) {
      this.parts.log.write('quota.unreadable', { address, message: (err as Error).message });
    }
    return true;
  }

  /** @internal */
  private static toEvent(message: QuotaMessage, from: string): BalancerEvent {
    switch (message.kind) {
      case 'ask': {
        const { organisation, ask } = message;
        return { kind: 'quotaAsked', ask: { organisation, ask }, from };
      }
      case 'answer': {
        const { organisation, ask, isGranted, waitMs } = message;
        return { kind: 'quotaAnswered', answer: { organisation, ask, isGranted, waitMs } };
      }
      default:
        return { kind: 'quotaReturned', organisation: message.organisation };
    }
  }

  /** @internal */
  private isListed(address: string): boolean {
    return [...this.parts.view.vms.values()].some(({ peers }) => peers === address);
  }

  /** @internal */
  private sendToVm(vm: string, message: QuotaMessage): void {
    // Without an address nothing is sent; the VM counts as silent once its answer is overdue.
    const address = this.parts.view.vms.get(vm)?.peers;
    if (address !== undefined) this.send(message, address);
  }

  /** @internal */
  private send(message: QuotaMessage, address: string): void {
    this.parts.neighbours.send(writeQuotaMessage(message), address);
  }
}
