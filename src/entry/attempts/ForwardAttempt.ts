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
import type { AttemptReporter } from './AttemptReporter.js';

/** Dependencies of an attempt that forwards a request to a peer. */
export interface ForwardAttemptParts {
  readonly attempt: number;
  readonly exchange: Exchange;
  readonly reporter: AttemptReporter;
  readonly remainingMs: number;
  readonly onBodyTooLarge: () => void;
  /** Opens the call to the peer. */
  readonly openCall: () => OutgoingPeerCall;
}

/** An attempt that forwards a request to another entry VM. */
export class ForwardAttempt implements Attempt, AnswerSource {
  /** @internal */
  private call: OutgoingPeerCall | undefined;

  /** @internal */
  private body: Readable | undefined;

  /** @param parts - The request to forward, and how to open the call. */
  constructor(private readonly parts: ForwardAttemptParts) {}

  /** Sends the request. */
  start(): void {
    const call = this.parts.openCall();
    this.call = call;
    call.on('data', (frame: unknown) => this.handleFrame(frame));
    call.on('error', (error: ServiceError) => this.handleCallError(error));
    call.on('end', () =>
      this.parts.reporter.reportEnd(this.parts.reporter.hasHead ? 'cut' : 'reset'),
    );
    const { exchange, onBodyTooLarge } = this.parts;
    const wholeBody = exchange.body.getWhole();
    call.write(this.createHead(wholeBody));
    if (wholeBody !== undefined) call.end();
    else this.sendBody(call, exchange.body.open(onBodyTooLarge) as Readable);
  }

  cancel(): void {
    this.stop('cancelled');
  }

  /** Ends the attempt at its deadline; the peer may or may not have received the request. */
  expire(): void {
    this.stop('timedOut');
  }

  relayTo(sink: AnswerSink): void {
    if (this.parts.reporter.startRelay(sink, this)) this.resume();
  }

  resume(): void {
    this.call?.resume();
  }

  /** @internal */
  private createHead(wholeBody: Buffer | undefined): ForwardHead {
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
      body: wholeBody,
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
    // The caller disconnected or exceeded the size limit. Without an end frame, the peer doesn't
    // mistake the partial body for a complete one.
    body.on('error', () => call.cancel());
    call.on('drain', () => body.resume());
  }

  /** @internal */
  private handleFrame(value: unknown): void {
    const frame = checkAnswerFrame(value);
    if (frame === undefined) {
      this.stop(this.parts.reporter.hasHead ? 'cut' : 'reset');
      return;
    }
    this.handleValidFrame(frame);
  }

  /** @internal */
  private handleValidFrame(frame: AnswerFrame): void {
    const { reporter } = this.parts;
    if (frame.kind === 'answer') {
      if (!this.handleAnswerHead(frame)) this.call?.pause();
    } else if (frame.kind === 'body') {
      const { buffer, byteOffset, byteLength } = frame.data;
      const chunk = Buffer.from(buffer, byteOffset, byteLength);
      if (!reporter.relayChunk(chunk)) this.call?.pause();
    } else {
      reporter.reportEnd(frame.whole ? 'complete' : 'cut');
      this.call?.cancel();
    }
  }

  /** @internal */
  private handleAnswerHead(frame: ForwardAnswerHead): boolean {
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
    return this.parts.reporter.reportHead(head, event);
  }

  /** @internal */
  private handleCallError(error: ServiceError): void {
    const { reporter } = this.parts;
    this.body?.destroy();
    if (provesNotDelivered(error)) reporter.reportEnd('notSent');
    else reporter.reportEnd(reporter.hasHead ? 'cut' : 'reset');
  }

  /** @internal */
  private stop(end: AttemptEnd): void {
    this.parts.reporter.reportEnd(end);
    this.body?.destroy();
    this.call?.cancel();
  }
}
