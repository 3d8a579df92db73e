import type { ServerResponse } from 'node:http';

import type { AnswerRemainder } from './TargetRequest.js';

/** How sending an answer to its caller ended. */
export type TransferEnd =
  | 'complete'
  /** The caller closed its connection. */
  | 'callerLeft'
  /** The target broke its answer off. */
  | 'targetBroke'
  /** The deadline passed, as the caller did not read or the target did not end. */
  | 'late'
  /** The process stopped. */
  | 'stopped';

/** An answer that is being sent. */
export interface AnswerTransferOptions {
  /** The part of the body that the target has not sent yet; undefined if there is none. */
  readonly remainder: AnswerRemainder | undefined;
  /** Whether the caller takes the close of its connection for the end of the answer. */
  readonly isEndedByClose: boolean;
  /** When the caller must have the answer, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Called once. */
  readonly onEnd: (end: TransferEnd) => void;
}

/**
 * Owns an answer from its first byte until the caller has it. Whatever ends it, nothing of it stays
 * open: the target's connection is reusable after a complete answer and closed otherwise.
 */
export class AnswerTransfer {
  /** @internal */
  private hasEnded = false;

  /**
   * @param res - The response to the caller; what is known of the body has been written.
   * @param options - The rest of the answer, and until when it may take.
   */
  constructor(
    private readonly res: ServerResponse,
    private readonly options: AnswerTransferOptions,
  ) {
    const { remainder } = options;
    res.once('finish', () => this.end('complete'));
    res.once('close', () => this.end('callerLeft'));
    if (remainder === undefined) return;
    // The stream also ends where the target breaks off, so that it must not end the response.
    remainder.stream.pipe(res, { end: false });
    remainder.end.subscribe((outcome) => {
      if (outcome === 'whole') res.end();
      else this.end('targetBroke');
    });
  }

  /**
   * Ends the transfer if its deadline has passed.
   * @param now - Monotonic milliseconds.
   */
  checkTime(now: number): void {
    const { remainder, deadlineAt } = this.options;
    // Waits for the answers to earlier requests of its connection, and needs nothing of the target.
    const isQueued = remainder === undefined && this.res.socket === null;
    if (now > deadlineAt && !isQueued) this.end('late');
  }

  /** Breaks the answer off, as the process stops. */
  stop(): void {
    this.end('stopped');
  }

  /** @internal */
  private end(end: TransferEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    if (end !== 'complete') {
      this.options.remainder?.stream.unpipe(this.res);
      this.options.remainder?.stream.destroy();
      // Only a reset tells such a caller that the answer is incomplete.
      if (this.options.isEndedByClose) this.res.socket?.resetAndDestroy();
      this.res.destroy();
    }
    this.options.onEnd(end);
  }
}
