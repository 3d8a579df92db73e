import type { BalancerEffect, BalancerEvent } from '../balancing/index.js';

/** A message to one other VM. */
export interface PeerMessage {
  readonly to: string;
  /** The event that it causes there. */
  readonly event: BalancerEvent;
}

/**
 * Returns the message that an effect sends to one other VM; undefined if it sends none.
 * @param effect - The effect.
 * @param from - Name of the VM that runs it.
 */
export function getPeerMessage(effect: BalancerEffect, from: string): PeerMessage | undefined {
  switch (effect.kind) {
    case 'askPermit':
      return { to: effect.vm, event: { kind: 'permitAsked', ask: effect.ask, from } };
    case 'answerPermit':
      return { to: effect.to, event: { kind: 'permitAnswered', answer: effect.answer } };
    case 'returnPermit':
      return { to: effect.vm, event: { kind: 'permitReturned', target: effect.target } };
    case 'askQuota':
      return { to: effect.vm, event: { kind: 'quotaAsked', ask: effect.ask, from } };
    case 'answerQuota':
      return { to: effect.to, event: { kind: 'quotaAnswered', answer: effect.answer } };
    case 'returnQuota':
      return {
        to: effect.vm,
        event: { kind: 'quotaReturned', organisation: effect.organisation },
      };
    default:
      return undefined;
  }
}
