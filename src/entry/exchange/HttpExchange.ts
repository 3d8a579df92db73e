import type { IncomingMessage, ServerResponse } from 'node:http';

import type {
  LocalAnswer,
  LocalOutcome,
  RequestId,
  ServiceName,
  StoredAnswer,
} from '../../core/index.js';
import type { RequestOutcome } from '../../report/index.js';
import type { AnswerHead, AnswerOrigin, AnswerSource, Exchange, RequestHead } from './Exchange.js';
import type { RawHeaders } from './headers.js';
import { linger } from './linger.js';
import type { Problem } from './problem.js';
import { getProblemHeaders, writeProblemBody } from './problem.js';
import type { RequestBody } from './RequestBody.js';
import { resetIfCallerEnds } from './resetIfCallerEnds.js';

type ServiceOutcome = RequestOutcome['outcome'];

/** The data of a caller's request. */
export interface HttpExchangeParts {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly caller: string;
  readonly fingerprint: string;
  readonly key?: string;
  readonly head: RequestHead;
  readonly body: RequestBody;
}

/** Maximum body size of an answer whose head and body are sent in one write, in bytes. */
const SMALL_ANSWER_BYTES = 4 * 1024;

const FIRST_ERROR_STATUS = 500;

function classifyLocalOutcome(outcome: LocalOutcome): ServiceOutcome {
  return outcome === 'not-run' ? 'refused' : 'failed';
}

function classifyRelayedAnswer(head: AnswerHead): ServiceOutcome {
  if (head.ownOutcome != null) return classifyLocalOutcome(head.ownOutcome);
  return head.status < FIRST_ERROR_STATUS ? 'answered' : 'failed';
}

/** A caller's HTTP request and its answer. */
export class HttpExchange implements Exchange {
  readonly id: RequestId;

  readonly service: ServiceName;

  readonly caller: string;

  readonly fingerprint: string;

  readonly key: string | undefined;

  readonly head: RequestHead;

  readonly body: RequestBody;

  /** @internal */
  private source: AnswerSource | undefined;

  /** @internal */
  private isAborted = false;

  /** Body size that the answer's head declares, in bytes. @internal */
  private declaredLength = Number.POSITIVE_INFINITY;

  /** Body of a small answer, held back until its end so that it is sent with the head. @internal */
  private smallBody: Buffer | undefined;

  /** Outcome of the answer; undefined until an answer begins. @internal */
  private outcome: ServiceOutcome | undefined;

  /** Target that the answer came from; undefined for an answer that masticlink generated. */
  origin: AnswerOrigin | undefined;

  /**
   * @param parts - The request's data.
   * @param req - The request.
   * @param res - The request's answer.
   */
  constructor(
    parts: HttpExchangeParts,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.id = parts.id;
    this.service = parts.service;
    this.caller = parts.caller;
    this.fingerprint = parts.fingerprint;
    this.key = parts.key;
    this.head = parts.head;
    this.body = parts.body;
  }

  begin(head: AnswerHead, source: AnswerSource): void {
    if (this.isAborted) return;
    this.source = source;
    this.origin = head.origin;
    this.outcome = classifyRelayedAnswer(head);
    if (head.endsWithConnection) {
      this.res.useChunkedEncodingByDefault = false;
      this.res.shouldKeepAlive = false;
    }
    const isOldCaller = this.req.httpVersion === '1.0';
    if (head.endsWithConnection || (isOldCaller && head.contentLength === undefined)) {
      resetIfCallerEnds(this.res);
    }
    this.writeHead(head.status, head.headers);
    this.declaredLength = head.contentLength ?? Number.POSITIVE_INFINITY;
    // Node holds the head back until the first bytes of the body, which may be delayed.
    if (this.declaredLength > SMALL_ANSWER_BYTES) process.nextTick(this.flushHead);
  }

  write(chunk: Buffer): boolean {
    if (this.isAborted) return true;
    if (chunk.length === this.declaredLength && chunk.length <= SMALL_ANSWER_BYTES) {
      this.smallBody = chunk;
      return true;
    }
    const hasRoom = this.res.write(chunk);
    if (!hasRoom) this.res.once('drain', this.onDrain);
    return hasRoom;
  }

  end(): void {
    if (this.isAborted) return;
    const { smallBody } = this;
    // Node joins the head with a body that is a string, so a small answer needs one system call.
    if (smallBody === undefined) this.res.end();
    else this.res.end(smallBody.toString('latin1'), 'latin1');
    this.drainRequest();
  }

  answer(answer: LocalAnswer): void {
    this.answerProblem(answer);
  }

  /**
   * Answers with an error, unless an answer has begun.
   * @param problem - The error.
   */
  answerProblem(problem: Problem): void {
    if (this.isAborted || this.res.headersSent) return;
    this.outcome = classifyLocalOutcome(problem.outcome);
    const body = writeProblemBody(problem);
    const headers = getProblemHeaders(problem, body.length);
    this.writeHead(problem.status, headers);
    this.res.end(this.req.method === 'HEAD' ? undefined : body);
    this.drainRequest();
  }

  replay(answer: StoredAnswer): void {
    if (this.isAborted || this.res.headersSent) return;
    this.outcome = 'answered';
    const body = Buffer.from(answer.body ?? '', 'base64');
    const headers = ['Content-Length', String(body.length), 'Masticlink-Replayed', 'true'];
    if (answer.contentType !== '') headers.push('Content-Type', answer.contentType);
    this.writeHead(answer.status, headers);
    this.res.end(body);
    this.drainRequest();
  }

  /** How the caller was served; undefined if it disconnected before its answer was sent. */
  getOutcome(): ServiceOutcome | undefined {
    if (this.isAborted) return 'failed';
    return this.res.writableFinished ? this.outcome : undefined;
  }

  abort(): void {
    this.isAborted = true;
    // With a clean end, the caller might mistake a truncated answer for a complete one.
    if (this.res.headersSent) this.res.socket?.resetAndDestroy();
    else this.res.destroy();
  }

  /** @internal */
  private readonly flushHead = (): void => {
    if (!this.isAborted && !this.res.writableEnded) this.res.flushHeaders();
  };

  /** @internal */
  private readonly onDrain = (): void => {
    this.source?.resume();
  };

  /** @internal */
  private writeHead(status: number, headers: RawHeaders): void {
    this.res.writeHead(status, headers as string[]);
  }

  /** @internal */
  private drainRequest(): void {
    if (!this.req.complete) linger(this.req, this.res);
  }
}
