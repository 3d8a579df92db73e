import type { ServiceError } from '@grpc/grpc-js';

import type { PeerMessage } from '../core/index.js';
import { provesProcessEnded } from './failures.js';
import type { OutgoingPeerCall } from './PeerClient.js';

/** Opens the call of a message stream and handles its failures. */
export interface MessageStreamOptions {
  readonly open: () => OutgoingPeerCall;
  readonly onFailed: (reason: 'refused' | 'unreachable') => void;
}

/** Messages to buffer for a peer that does not read; above this, messages are dropped. */
const MAX_QUEUED_MESSAGES = 2_000;

/**
 * Sends one-way messages to one peer, in order, over one long-lived call. A call that fails is
 * reported to `onFailed`. Messages in flight may then be lost; the core resends what must arrive.
 */
export class MessageStream {
  /** @internal */
  private call: OutgoingPeerCall | undefined;

  /** @param options - Opens the call and handles its failures. */
  constructor(private readonly options: MessageStreamOptions) {}

  /**
   * Sends a message and opens the call if there is none. The message is dropped and reported as
   * `unreachable` if too many are buffered already.
   * @param message - The message.
   */
  send(message: PeerMessage): void {
    this.call ??= this.openCall();
    // A paused peer reads nothing; messages buffered for it must not exhaust the memory.
    if (this.call.writableLength > MAX_QUEUED_MESSAGES) this.options.onFailed('unreachable');
    else this.call.write(message);
  }

  /** Cancels the call without reporting a failure. */
  close(): void {
    const { call } = this;
    this.call = undefined;
    call?.cancel();
  }

  /** @internal */
  private openCall(): OutgoingPeerCall {
    const call = this.options.open();
    let wasEstablished = false;
    call.on('metadata', () => {
      wasEstablished = true;
    });
    call.on('data', () => {});
    call.on('error', (error: ServiceError) => this.handleError(call, error, wasEstablished));
    return call;
  }

  /** @internal */
  private handleError(call: OutgoingPeerCall, error: ServiceError, wasEstablished: boolean): void {
    if (this.call !== call) return;
    this.call = undefined;
    if (provesProcessEnded(error)) this.options.onFailed('refused');
    else {
      this.options.onFailed('unreachable');
      // When a process ends, its open connections break, which does not prove its end. A new call
      // does, as its connection is refused; without it, the fleet would wait for the next message.
      if (wasEstablished) this.call ??= this.openCall();
    }
  }
}
