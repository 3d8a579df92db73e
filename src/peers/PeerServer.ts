import type { ServerDuplexStream, ServiceError } from '@grpc/grpc-js';
import { Metadata, Server, ServerCredentials, status } from '@grpc/grpc-js';

import type { EntryVmId, PeerMessage } from '../core/index.js';
import { checkPeerMessage } from './checks.js';
import { PeerListenError } from './errors.js';
import {
  FROM_METADATA_KEY,
  MAX_MESSAGE_BYTES,
  NOT_THIS_MEMBER_DETAILS,
  PEER_SERVICE,
  STARTING_DETAILS,
  TO_METADATA_KEY,
} from './peerService.js';

/** Server side of a call from another entry VM, for messages or for one forwarded request. */
export type IncomingPeerCall = ServerDuplexStream<unknown, unknown>;

/** Id of the member that listens and its address; port 0 binds a free port. */
export interface PeerServerOptions {
  readonly self: EntryVmId;
  readonly host: string;
  readonly port: number;
}

type CallError = Pick<ServiceError, 'code' | 'details'>;

function getMetadataText(metadata: Metadata, key: string): string {
  return String(metadata.get(key)[0] ?? '');
}

/** Accepts messages and forwarded requests from other entry VMs. */
export class PeerServer {
  /** Handles each message; all calls are refused until this and `onForward` are set. */
  onMessage: ((from: EntryVmId, message: PeerMessage) => void) | undefined;

  /** Handles each forwarded request; all calls are refused until this and `onMessage` are set. */
  onForward: ((from: EntryVmId, call: IncomingPeerCall) => void) | undefined;

  /** @internal */
  private readonly server = new Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  });

  /** @internal */
  private boundPort = 0;

  /** @param options - Id of the member that listens and its address. */
  private constructor(private readonly options: PeerServerOptions) {
    this.server.addService(PEER_SERVICE, {
      messages: (call: IncomingPeerCall) => this.handleMessages(call),
      forward: (call: IncomingPeerCall) => this.handleForward(call),
    });
  }

  /**
   * Starts to listen; throws `PeerListenError` if the address can't be bound.
   * @param options - Id of the member that listens and its address.
   */
  static async start(options: PeerServerOptions): Promise<PeerServer> {
    const server = new PeerServer(options);
    await server.listen();
    return server;
  }

  /** IP address and bound port, as `ip:port`. */
  get address(): string {
    return `${this.options.host}:${this.boundPort}`;
  }

  /** Ends all calls at once and stops listening. */
  close(): void {
    this.server.forceShutdown();
  }

  /** @internal */
  private async listen(): Promise<void> {
    const { host, port } = this.options;
    const address = `${host}:${port}`;
    this.boundPort = await new Promise<number>((resolve, reject) => {
      this.server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
        if (error === null) resolve(bound);
        else {
          const text = `cannot listen for peers on ${address}`;
          reject(new PeerListenError(text, { cause: error }));
        }
      });
    });
  }

  /** Reason to refuse a call, from its metadata and the handlers; undefined to accept. @internal */
  private getRefusal(metadata: Metadata): CallError | undefined {
    // A process that reuses the address of an earlier one must not act on messages for that one.
    if (getMetadataText(metadata, TO_METADATA_KEY) !== this.options.self) {
      return { code: status.FAILED_PRECONDITION, details: NOT_THIS_MEMBER_DETAILS };
    }
    if (this.onMessage === undefined || this.onForward === undefined) {
      return { code: status.UNAVAILABLE, details: STARTING_DETAILS };
    }
    if (getMetadataText(metadata, FROM_METADATA_KEY) === '') {
      return { code: status.INVALID_ARGUMENT, details: `the call has no ${FROM_METADATA_KEY}` };
    }
    return undefined;
  }

  /** @internal */
  private handleMessages(call: IncomingPeerCall): void {
    const refusal = this.getRefusal(call.metadata);
    if (refusal !== undefined) {
      call.emit('error', refusal);
      return;
    }
    const from = getMetadataText(call.metadata, FROM_METADATA_KEY);
    call.sendMetadata(new Metadata());
    call.on('data', (value: unknown) => {
      const message = checkPeerMessage(value);
      if (message !== undefined) this.onMessage?.(from, message);
      else {
        const kind = String((value as { kind?: unknown } | null)?.kind);
        const details = `a message of kind "${kind}" does not have the shape of one`;
        call.emit('error', { code: status.INVALID_ARGUMENT, details });
      }
    });
    call.on('end', () => call.end());
    call.on('error', () => {});
  }

  /** @internal */
  private handleForward(call: IncomingPeerCall): void {
    const refusal = this.getRefusal(call.metadata);
    if (refusal !== undefined) call.emit('error', refusal);
    else this.onForward?.(getMetadataText(call.metadata, FROM_METADATA_KEY), call);
  }
}
