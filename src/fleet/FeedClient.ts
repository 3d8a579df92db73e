import type { Socket } from 'node:net';
import { connect } from 'node:net';

import type { VmEntry } from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { FeedMessage } from './feedMessages.js';
import { FeedReader, writeFeedMessage } from './feedMessages.js';
import { SECTIONS } from './FleetStore.js';
import type { FleetView } from './FleetView.js';

/** Without a line for so long a connection counts as silent, in ms: three ages that are missing. */
const SILENT_MS = 850;

/** What another VM tells of the store. */
export class FeedClient {
  /** When it was begun; monotonic milliseconds. */
  readonly startedAt: number;

  /** Whether the connection has ended. */
  isEnded = false;

  /** @internal */
  private readonly socket: Socket;

  /** @internal */
  private readonly reader = new FeedReader<FeedMessage>();

  /** @internal */
  private heardAt: number;

  /** Age of the sender's word when it last told it. @internal */
  private ageMs = Number.POSITIVE_INFINITY;

  /**
   * @param address - Peer address of the VM that is followed.
   * @param view - What is known; written here.
   * @param clock - Time to go by.
   * @param onEnd - Told that the connection has ended by itself.
   * @param announce - This VM, if the one that is followed is to announce it.
   */
  constructor(
    readonly address: string,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly onEnd: (reason: string) => void,
    announce?: VmEntry,
  ) {
    this.startedAt = clock.now();
    this.heardAt = this.startedAt;
    const [host, port] = address.split(':');
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.socket.setEncoding('utf8');
    const known = SECTIONS.map((section) => [section, view.getRevision(section)]);
    const version = view.table?.version;
    this.socket.write(
      writeFeedMessage({ revisions: Object.fromEntries(known), version, announce }),
    );
    this.socket.on('data', (text: string) => this.hear(text));
    this.socket.once('error', (err) => this.end(err.message));
    this.socket.once('close', () => this.end('closed'));
  }

  /** Whether nothing was heard for too long. */
  get isSilent(): boolean {
    return this.clock.now() - this.heardAt > SILENT_MS;
  }

  /** Age of the store's word by way of this connection, in milliseconds. */
  getAgeMs(): number {
    return this.ageMs + this.clock.now() - this.heardAt;
  }

  /** Ends the connection. */
  stop(): void {
    this.isEnded = true;
    this.socket.destroy();
  }

  /** @internal */
  private end(reason: string): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.socket.destroy();
    this.onEnd(reason);
  }

  /** @internal */
  private hear(text: string): void {
    if (this.isEnded) return;
    this.heardAt = this.clock.now();
    let messages: FeedMessage[];
    try {
      messages = this.reader.read(text);
    } catch (err) {
      this.end((err as Error).message);
      return;
    }
    for (const message of messages) this.take(message);
  }

  /** @internal */
  private take(message: FeedMessage): void {
    if (message.kind === 'change') {
      this.view.apply({ ...message, isFromPeer: true });
      return;
    }
    const { ageMs, origin, count } = message;
    this.ageMs = ageMs;
    this.view.confirmBy({ origin, count }, this.heardAt - ageMs);
  }
}
