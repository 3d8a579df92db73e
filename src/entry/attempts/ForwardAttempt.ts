import type { Readable } from 'node:stream';

import type { ServiceError } from '@grpc/grpc-js';

import type { AttemptEnd, CoreEvent } from '../../core/index.js';
import type {
  AnswerFrame,
  ForwardAnswerHead,
  OutgoingPeerCall,
  ForwardHead,
} from '../../peers/index.js';
import { checkAnswerFrame, provesNotDelivered } from '../../peers/index.js';
import type { AnswerSink, AnswerSource, Exchange } from '../exchange/Exchange.js';
import type { Attempt } from './Attempt.js';
import type { AttemptReport } from './AttemptReport.js';

/** What a forward of a request needs. */
export interface ForwardAttemptParts {
  readonly attempt: number;
  readonly exchange: Exchange;
  readonly report: AttemptReport;
  readonly remainingMs: number;
  readonly onBodyTooLarge: () => void;
  /** Opens the call to the peer. */
  readonly open: () => OutgoingPeerCall;
}

/** A request on its way to another entry VM. */
export class ForwardAttempt implements Attempt, AnswerSource {
  /** @internal */
  private call: OutgoingPeerCall | undefined;

  /** @internal */
  private body: Readable | undefined;

  /** @param parts - What to send and where. */
  constructor(private readonly parts: ForwardAttemptParts) {}

  /** Sends the request. */
  start(): void {
    const call = this.parts.open();
    this.call = call;
    call.on('data', (frame: unknown) => this.takeFrame(frame));
    call.on('error', (error: ServiceError) => this.fail(error));
    call.on('end', () => this.parts.report.end(this.parts.report.hasHead ? 'cut' : 'reset'));
    const { exchange, onBodyTooLarge } = this.parts;
    const whole = exchange.body.getWhole();
    call.write(this.getHead(whole));
    if (whole !== undefined) call.end();
    else this.sendBody(call, exchange.body.open(onBodyTooLarge) as Readable);
  }

  cancel(): void {
    this.stop('cancelled');
  }

  /** The deadline passed; whether the peer had the request is not certain. */
  expire(): void {
    this.stop('timedOut');
  }

  relayTo(sink: AnswerSink): void {
    if (this.parts.report.relay(sink, this)) this.resume();
  }

  resume(): void {
    this.call?.resume();
  }

  /** @internal */
  private getHead(whole: Buffer | undefined): ForwardHead {
    const { exchange, remainingMs } = this.parts;
    const { service, caller, fingerprint, key, head, body } = exchange;
    return {
      kind: 'head',
      service,
      caller,
      fingerprint,
      key,
      method: head.method,
      path: head.path,
      headers: head.headers,
      remainingMs,
      contentLength: body.contentLength,
      body: whole,
    };
  }

  /** @internal */
  private sendBody(call: OutgoingPeerCall, body: Readable): void {
    this.body = body;
    body.on('data', (data: Buffer) => {
      if (!call.write({ kind: 'body', data })) body.pause();
    });
    body.on('end', () => {
      call.write({ kind: 'end' });
      call.end();
    });
    // The caller hung up or sent too much: without an end frame, the peer can't take it for whole.
    body.on('error', () => call.cancel());
    call.on('drain', () => body.resume());
  }

  /** @internal */
  private takeFrame(value: unknown): void {
    const frame = checkAnswerFrame(value);
    if (frame === undefined) {
      this.stop(this.parts.report.hasHead ? 'cut' : 'reset');
      return;
    }
    this.takeChecked(frame);
  }

  /** @internal */
  private takeChecked(frame: AnswerFrame): void {
    const { report } = this.parts;
    if (frame.kind === 'answer') {
      if (!this.takeAnswer(frame)) this.call?.pause();
    } else if (frame.kind === 'body') {
      const { buffer, byteOffset, byteLength } = frame.data;
      const chunk = Buffer.from(buffer, byteOffset, byteLength);
      if (!report.data(chunk)) this.call?.pause();
    } else {
      report.end(frame.whole ? 'complete' : 'cut');
      this.call?.cancel();
    }
  }

  /** @internal */
  private takeAnswer(frame: ForwardAnswerHead): boolean {
    const { status, headers, endsWithConnection, ownOutcome, retryAfterMs, spare } = frame;
    const event: CoreEvent = {
      kind: 'attemptAnswered',
      attempt: this.parts.attempt,
      status,
      ...(ownOutcome == null ? {} : { ownOutcome }),
      ...(retryAfterMs == null ? {} : { retryAfterMs }),
      ...(spare == null ? {} : { spare }),
    };
    const { contentType, target, zone } = frame;
    const origin = target == null || zone == null ? undefined : { target, zone };
    const head = { status, headers, contentType, endsWithConnection, origin, ownOutcome };
    return this.parts.report.answered(head, event);
  }

  /** @internal */
  private fail(error: ServiceError): void {
    const { report } = this.parts;
    this.body?.destroy();
    if (provesNotDelivered(error)) report.end('notSent');
    else report.end(report.hasHead ? 'cut' : 'reset');
  }

  /** @internal */
  private stop(end: AttemptEnd): void {
    this.parts.report.end(end);
    this.body?.destroy();
    this.call?.cancel();
  }
}
