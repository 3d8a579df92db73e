import type { AnswerSink } from '../exchange/Exchange.js';

/** One attempt to send a request to a target or peer. */
export interface Attempt {
  /** Cancels the attempt; its end is still reported to the core. */
  cancel(): void;
  /**
   * Relays the answer to the caller or peer that waits for it.
   * @param sink - Destination of the answer.
   */
  relayTo(sink: AnswerSink): void;
}
