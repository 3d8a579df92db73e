import type { ClientRequest, IncomingMessage } from 'node:http';

import { endsInChunks } from '../entry/exchange/headers.js';

/** What marks the end of an answer's body: `close` is that of the connection, `none` is no body. */
export type AnswerFraming = 'length' | 'chunks' | 'close' | 'none';

/** How the body of an answer has ended. */
export type AnswerOutcome = 'whole' | 'brokenOff';

/** Statuses of answers that never have a body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number | undefined> = new Set([204, 304]);

/**
 * Returns what marks the end of an answer's body (RFC 9112, 6.3). With any other last transfer
 * coding than `chunked`, it is the close of the connection.
 * @param method - Method of the request.
 * @param res - The answer.
 * @example
 * getFraming('HEAD', res); // 'none'
 */
export function getFraming(
  method: string,
  { headers, statusCode }: IncomingMessage,
): AnswerFraming {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(statusCode)) return 'none';
  const codings = headers['transfer-encoding'];
  if (codings !== undefined) return endsInChunks(codings) ? 'chunks' : 'close';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Decides whether the body of an answer has come to its end or was broken off.
 *
 * Node's client ends a body that is delimited by the close of its connection on an error, too, so
 * that `end` alone does not say that the body is whole.
 */
export class AnswerEnd {
  /** Undefined until it is known. */
  outcome: AnswerOutcome | undefined;

  /** Whether all of the body has been read. @internal */
  private isRead = false;

  /** Whether the target has closed its side of the connection without a reset. @internal */
  private isClosedOrderly = false;

  /** @internal */
  private readonly listeners: ((outcome: AnswerOutcome) => void)[] = [];

  /**
   * @param req - The request.
   * @param res - Its answer, of which only the head has been read.
   * @param framing - What marks the end of the body.
   */
  constructor(
    private readonly req: ClientRequest,
    private readonly res: IncomingMessage,
    private readonly framing: AnswerFraming,
  ) {
    const breakOff = (): void => this.decide('brokenOff');
    if (framing === 'close') this.detectOrderlyClose();
    res.once('end', () => {
      this.isRead = true;
      this.decideIfWhole();
    });
    res.once('aborted', breakOff);
    res.once('error', breakOff);
    res.once('close', () => {
      if (!this.isRead) breakOff();
    });
    req.once('error', () => {
      // An error behind the end of the body does not concern this answer.
      if (!this.isEndKnown) breakOff();
    });
    req.once('close', () => {
      if (!this.isEndKnown) breakOff();
    });
  }

  /**
   * Calls back once the outcome is known, never at once.
   * @param onKnown - Called with the outcome.
   */
  subscribe(onKnown: (outcome: AnswerOutcome) => void): void {
    const { outcome } = this;
    if (outcome === undefined) this.listeners.push(onKnown);
    else process.nextTick(onKnown, outcome);
  }

  /** @internal */
  private get isEndKnown(): boolean {
    return this.framing === 'close' ? this.isClosedOrderly : this.res.complete;
  }

  /** @internal */
  private decideIfWhole(): void {
    if (!this.isRead) return;
    if (this.isEndKnown) this.decide('whole');
    else if (this.framing !== 'close') this.decide('brokenOff');
  }

  /** @internal */
  private decide(outcome: AnswerOutcome): void {
    if (this.outcome !== undefined) return;
    this.outcome = outcome;
    for (const listener of this.listeners.splice(0)) listener(outcome);
  }

  /**
   * A reset that arrives together with the last bytes is reported as an ordinary end, because there
   * was still data to read. A write distinguishes the two: after a reset it fails at once. The empty
   * line that is written has no meaning, as servers ignore empty lines before a request.
   * @internal
   */
  private detectOrderlyClose(): void {
    const { socket } = this.res;
    // Otherwise the socket could not be written to after the target has ended its side.
    socket.allowHalfOpen = true;
    socket.prependOnceListener('end', () => {
      socket.write('\r\n', (err) => {
        if (err) {
          this.decide('brokenOff');
          this.req.destroy();
          return;
        }
        this.isClosedOrderly = true;
        this.decideIfWhole();
      });
    });
  }
}
