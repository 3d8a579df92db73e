import type { ClientDuplexStream, MethodDefinition } from '@grpc/grpc-js';
import { Client, credentials, Metadata } from '@grpc/grpc-js';

import type { EntryVmId, PeerMessage } from '../core/index.js';
import { MessageStream } from './MessageStream.js';
import {
  FORWARD_METHOD,
  FROM_METADATA_KEY,
  MAX_MESSAGE_BYTES,
  MESSAGES_METHOD,
  TO_METADATA_KEY,
} from './peerService.js';

/** Id of the sending member and the handler for messages that could not be delivered. */
export interface PeerClientOptions {
  readonly self: EntryVmId;
  readonly onFailed: (peer: EntryVmId, reason: 'refused' | 'unreachable') => void;
}

/** Client side of a call to another entry VM, for messages or for one forwarded request. */
export type OutgoingPeerCall = ClientDuplexStream<unknown, unknown>;

const CHANNEL_OPTIONS = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.min_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
};

interface Channel {
  readonly client: Client;
  readonly metadata: Metadata;
  readonly messages: MessageStream;
  usedAt: number;
}

/** A channel unused for longer than this, in milliseconds, belongs to a member that is gone. */
const CHANNEL_IDLE_MS = 60_000;

function openCall(
  client: Client,
  metadata: Metadata,
  method: MethodDefinition<unknown, unknown>,
): OutgoingPeerCall {
  const { path, requestSerialize, responseDeserialize } = method;
  return client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize, metadata);
}

/** Sends messages and forwards requests to other entry VMs, over one channel for each member. */
export class PeerClient {
  /**
   * Keyed by member, not by address: a restarted process is a new member, and an error that a
   * channel kept from the earlier process must not be attributed to the new one.
   * @internal
   */
  private readonly channels = new Map<EntryVmId, Channel>();

  /** @param options - Id of the sending member and the handler for failures. */
  constructor(private readonly options: PeerClientOptions) {}

  /**
   * Sends a one-way message; a failed delivery is reported to `onFailed`.
   * @param peer - Id of the receiving member.
   * @param peerAddress - Its IP address and port.
   * @param message - The message.
   */
  send(peer: EntryVmId, peerAddress: string, message: PeerMessage): void {
    this.getOrOpenChannel(peer, peerAddress).messages.send(message);
  }

  /**
   * Opens a call that forwards one request.
   * @param peer - Id of the receiving member.
   * @param peerAddress - Its IP address and port.
   */
  forward(peer: EntryVmId, peerAddress: string): OutgoingPeerCall {
    const { client, metadata } = this.getOrOpenChannel(peer, peerAddress);
    return openCall(client, metadata, FORWARD_METHOD);
  }

  /** Closes channels that were not used for `CHANNEL_IDLE_MS`. */
  closeIdleChannels(): void {
    const cutoff = Date.now() - CHANNEL_IDLE_MS;
    for (const [peer, { client, messages, usedAt }] of this.channels) {
      if (usedAt >= cutoff) continue;
      messages.close();
      client.close();
      this.channels.delete(peer);
    }
  }

  /** Closes all channels and cancels their calls for messages. */
  close(): void {
    for (const { client, messages } of this.channels.values()) {
      messages.close();
      client.close();
    }
    this.channels.clear();
  }

  /** @internal */
  private getOrOpenChannel(peer: EntryVmId, peerAddress: string): Channel {
    let channel = this.channels.get(peer);
    if (channel === undefined) {
      const metadata = new Metadata();
      metadata.set(TO_METADATA_KEY, peer);
      metadata.set(FROM_METADATA_KEY, this.options.self);
      const client = new Client(peerAddress, credentials.createInsecure(), CHANNEL_OPTIONS);
      const messages = new MessageStream({
        open: () => openCall(client, metadata, MESSAGES_METHOD),
        onFailed: (reason) => this.options.onFailed(peer, reason),
      });
      channel = { client, metadata, messages, usedAt: 0 };
      this.channels.set(peer, channel);
    }
    channel.usedAt = Date.now();
    return channel;
  }
}
