import type {
  LocalAnswer,
  RequestId,
  ServiceName,
  ServiceSpare,
  StoredAnswer,
} from '../../core/index.js';
import type { AnswerFrame, IncomingPeerCall, ForwardHead } from '../../peers/index.js';
import type { AnswerHead, AnswerSource, Exchange, RequestHead } from './Exchange.js';
import { getProblemHeaders, PROBLEM_TYPE, writeProblemBody } from './problem.js';
import type { RequestBody } from './RequestBody.js';

/** The data of a forwarded request. */
export interface PeerExchangeParts {
  readonly id: RequestId;
  readonly head: ForwardHead;
  readonly body: RequestBody;
  readonly call: IncomingPeerCall;
  /** Gets the spare capacity of the service at this process, which is sent with each answer. */
  readonly getSpare: () => ServiceSpare | undefined;
}

/** A request that another entry VM forwarded. */
export class PeerExchange implements Exchange {
  readonly id: RequestId;

  readonly service: ServiceName;

  readonly caller: string;

  readonly fingerprint: string;

  readonly key: string | undefined;

  readonly head: RequestHead;

  readonly body: RequestBody;

  /** Whether the answer was completed or aborted. */
  isDone = false;

  /** @internal */
  private readonly call: IncomingPeerCall;

  /** @param parts - The request's data. */
  constructor(private readonly parts: PeerExchangeParts) {
    const { head } = parts;
    this.id = parts.id;
    this.service = head.service;
    this.caller = head.caller;
    this.fingerprint = head.fingerprint;
    this.key = head.key ?? undefined;
    this.head = { method: head.method, path: head.path, headers: head.headers };
    this.body = parts.body;
    this.call = parts.call;
  }

  begin(head: AnswerHead, source: AnswerSource): void {
    if (this.isDone) return;
    this.call.on('drain', () => source.resume());
    this.send({
      kind: 'answer',
      status: head.status,
      headers: head.headers,
      contentType: head.contentType,
      endsWithConnection: head.endsWithConnection,
      target: head.origin?.target,
      zone: head.origin?.zone,
      spare: this.parts.getSpare(),
    });
  }

  write(chunk: Buffer): boolean {
    if (this.isDone) return true;
    return this.send({ kind: 'body', data: chunk });
  }

  end(): void {
    this.finish(true);
  }

  answer(answer: LocalAnswer): void {
    if (this.isDone) return;
    const body = writeProblemBody(answer);
    this.send({
      kind: 'answer',
      status: answer.status,
      headers: getProblemHeaders(answer, body.length),
      contentType: PROBLEM_TYPE,
      endsWithConnection: false,
      ownOutcome: answer.outcome,
      retryAfterMs: answer.retryAfterMs,
      spare: this.parts.getSpare(),
    });
    if (this.head.method !== 'HEAD') this.send({ kind: 'body', data: body });
    this.finish(true);
  }

  replay(answer: StoredAnswer): void {
    if (this.isDone) return;
    const body = Buffer.from(answer.body ?? '', 'base64');
    const { status, contentType } = answer;
    const headers = ['Content-Length', String(body.length), 'Content-Type', contentType];
    this.send({ kind: 'answer', status, headers, contentType, endsWithConnection: false });
    this.send({ kind: 'body', data: body });
    this.finish(true);
  }

  abort(): void {
    this.finish(false);
  }

  /** @internal */
  private send(frame: AnswerFrame): boolean {
    return this.call.write(frame);
  }

  /** @internal */
  private finish(whole: boolean): void {
    if (this.isDone) return;
    this.isDone = true;
    this.send({ kind: 'end', whole });
    this.call.end();
  }
}
