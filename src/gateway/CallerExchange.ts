import type { IncomingMessage, ServerResponse } from 'node:http';

import { linger } from '../entry/exchange/linger.js';
import { resetIfCallerEnds } from '../entry/exchange/resetIfCallerEnds.js';
import { createRequestIdHeader, keepApiKey, writeOrganisation } from '../platform/index.js';
import { REASON_HEADER } from './forwardHeaders.js';
import type { TransferEnd } from './AnswerTransfer.js';
import { AnswerTransfer } from './AnswerTransfer.js';
import type { TargetAnswer } from './TargetRequest.js';

const MS_PER_SECOND = 1_000;

function removeContentLength(headers: readonly string[]): string[] {
  return headers.filter((_, i) => headers[i - (i % 2)].toLowerCase() !== 'content-length');
}

/** A caller's request and the HTTP response that answers it. */
export class CallerExchange {
  /** @internal */
  private hasStartedAnswer = false;

  /**
   * @param req - The request.
   * @param res - The response.
   * @param headers - Headers to forward, as alternating names and values.
   * @param body - The request's body; undefined if it has none.
   * @param callerRequestId - Request id set by the caller, if any.
   * @param isForwarded - Whether another VM has passed the request on.
   * @param hasOrganisations - Whether the configuration in force has organisations.
   */
  constructor(
    readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly headers: readonly string[],
    readonly body: Buffer | undefined,
    readonly callerRequestId: string | undefined,
    private readonly isForwarded = false,
    private readonly hasOrganisations: () => boolean = () => false,
  ) {}

  /**
   * Returns the headers for a target, as alternating names and values. If there are organisations,
   * they never include the API key, and an organisation only if the key belongs to it.
   *
   * This is decided for each attempt and not on arrival: a request that is held at start arrives
   * before any configuration is known.
   * @param organisation - Name of the caller's organisation; undefined if it has none.
   */
  getTargetHeaders(organisation: string | undefined): readonly string[] {
    const isWritten = organisation !== undefined || this.hasOrganisations();
    return isWritten ? writeOrganisation(this.headers, organisation) : this.headers;
  }

  /** Headers for another VM: it checks the caller's key itself. */
  get vmHeaders(): readonly string[] {
    return this.hasOrganisations() ? keepApiKey(this.headers, this.req.rawHeaders) : this.headers;
  }

  /**
   * Forwards a target's answer to the caller unchanged.
   * @param answer - The target's answer.
   * @param deadlineAt - When the caller must have it, in monotonic milliseconds.
   * @param onEnd - Called once the answer has been sent or broken off.
   * @returns What remains to be done.
   */
  deliver(
    { status, headers, body, remainder, reservation }: TargetAnswer,
    deadlineAt: number,
    onEnd: (end: TransferEnd) => void,
  ): AnswerTransfer {
    this.hasStartedAnswer = true;
    const isHead = this.req.method === 'HEAD';
    const lengthHeader =
      remainder === undefined && !isHead ? ['Content-Length', String(body.length)] : [];
    const keptHeaders = lengthHeader.length === 0 ? [...headers] : removeContentLength(headers);
    this.res.once('close', () => reservation.release());
    this.res.writeHead(status, [...keptHeaders, ...lengthHeader]);
    if (remainder === undefined) this.res.end(body);
    else this.res.write(body, () => reservation.release());
    const isEndedByClose =
      remainder !== undefined && remainder.framing !== 'length' && this.req.httpVersion === '1.0';
    if (isEndedByClose) resetIfCallerEnds(this.res);
    return new AnswerTransfer(this.res, { remainder, isEndedByClose, deadlineAt, onEnd });
  }

  /**
   * Answers with an error of this entry VM's own.
   * @param status - HTTP status.
   * @param reason - Reason, sent in the body as `error`.
   * @param retryAfterMs - Time after which the caller may retry, sent as `Retry-After` in seconds.
   */
  answer(status: number, reason: string, retryAfterMs?: number): void {
    if (this.res.headersSent) return;
    this.hasStartedAnswer = true;
    const body = Buffer.from(JSON.stringify({ error: reason }));
    const headers: Record<string, string | number> = {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    };
    if (this.isForwarded) {
      Object.assign(headers, createRequestIdHeader(this.callerRequestId));
      headers[REASON_HEADER] = reason;
    }
    if (retryAfterMs !== undefined) headers['Retry-After'] = retryAfterMs / MS_PER_SECOND;
    this.res.writeHead(status, headers);
    this.res.end(this.req.method === 'HEAD' ? undefined : body);
    linger(this.req, this.res);
  }

  /** Closes the caller's connection, or does so once the answers before this one have been sent. */
  close(): void {
    this.hasStartedAnswer = true;
    this.res.destroy();
  }

  /** Whether an answer has been sent to the caller, at least in part. */
  get isAnswered(): boolean {
    return this.hasStartedAnswer;
  }
}
