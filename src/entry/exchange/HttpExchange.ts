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

type ServiceOutcome = RequestOutcome['outcome'];

/** What is known of a caller's request once its head is read. */
export interface HttpExchangeParts {
  readonly id: RequestId;
  readonly service: ServiceName;
  readonly caller: string;
  readonly fingerprint: string;
  readonly key?: string;
  readonly head: RequestHead;
  readonly body: RequestBody;
}

/** Answers up to this size go out in one piece, in bytes. */
const SMALL_ANSWER_BYTES = 4 * 1024;

const FIRST_ERROR_STATUS = 500;

function judgeOwn(outcome: LocalOutcome): ServiceOutcome {
  return outcome === 'not-run' ? 'refused' : 'failed';
}

function judgeRelayed(head: AnswerHead): ServiceOutcome {
  if (head.ownOutcome != null) return judgeOwn(head.ownOutcome);
  return head.status < FIRST_ERROR_STATUS ? 'answered' : 'failed';
}

/** A caller's request over HTTP. */
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

  /** Size that the answer's head tells, in bytes. @internal */
  private wholeLength = Number.POSITIVE_INFINITY;

  /** A small answer's body, kept until its end so that it goes out with the head. @internal */
  private small: Buffer | undefined;

  /** How the caller was served; undefined until it has all of its answer. @internal */
  private outcome: ServiceOutcome | undefined;

  /** Target that the answer came from, if one did. */
  origin: AnswerOrigin | undefined;

  /**
   * @param parts - What the request's head says.
   * @param req - The request.
   * @param res - Its answer.
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
    this.outcome = judgeRelayed(head);
    if (head.endsWithConnection) {
      this.res.useChunkedEncodingByDefault = false;
      this.res.shouldKeepAlive = false;
    }
    this.writeHead(head.status, head.headers);
    this.wholeLength = head.contentLength ?? Number.POSITIVE_INFINITY;
    // Node keeps the head back until the body's first bytes, which may be long in coming.
    if (this.wholeLength > SMALL_ANSWER_BYTES) process.nextTick(this.flushHead);
  }

  write(chunk: Buffer): boolean {
    if (this.isAborted) return true;
    if (chunk.length === this.wholeLength && chunk.length <= SMALL_ANSWER_BYTES) {
      this.small = chunk;
      return true;
    }
    const hasRoom = this.res.write(chunk);
    if (!hasRoom) this.res.once('drain', this.onDrain);
    return hasRoom;
  }

  end(): void {
    if (this.isAborted) return;
    const { small } = this;
    // As text, node writes head and body in one piece: a small answer costs one system call.
    if (small === undefined) this.res.end();
    else this.res.end(small.toString('latin1'), 'latin1');
    this.finishRequest();
  }

  answer(answer: LocalAnswer): void {
    this.answerProblem(answer);
  }

  /**
   * Answers with an error.
   * @param problem - What to tell.
   */
  answerProblem(problem: Problem): void {
    if (this.isAborted || this.res.headersSent) return;
    this.outcome = judgeOwn(problem.outcome);
    const body = writeProblemBody(problem);
    const headers = getProblemHeaders(problem, body.length);
    this.writeHead(problem.status, headers);
    this.res.end(this.req.method === 'HEAD' ? undefined : body);
    this.finishRequest();
  }

  replay(answer: StoredAnswer): void {
    if (this.isAborted || this.res.headersSent) return;
    this.outcome = 'answered';
    const body = Buffer.from(answer.body ?? '', 'base64');
    const headers = ['Content-Length', String(body.length), 'Masticlink-Replayed', 'true'];
    if (answer.contentType !== '') headers.push('Content-Type', answer.contentType);
    this.writeHead(answer.status, headers);
    this.res.end(body);
    this.finishRequest();
  }

  /** How the caller was served; undefined if it hung up before its answer was all out. */
  getOutcome(): ServiceOutcome | undefined {
    if (this.isAborted) return 'failed';
    return this.res.writableFinished ? this.outcome : undefined;
  }

  abort(): void {
    this.isAborted = true;
    // Ending cleanly would show the caller a cut answer as whole; a reset can't be mistaken.
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
  private finishRequest(): void {
    if (!this.req.complete) linger(this.req, this.res);
  }
}
