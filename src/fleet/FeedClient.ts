import type { Socket } from 'node:net';
import { connect } from 'node:net';

import type { VmAnnouncement } from '../balancing/index.js';
import type { Clock } from '../timing/index.js';
import type { FeedMessage } from './feedMessages.js';
import { decodeFeedMessage, FeedReader, writeFeedMessage } from './feedMessages.js';
import type { Section } from './FleetStore.js';
import { SECTIONS } from './FleetStore.js';
import type { FleetView } from './FleetView.js';
import type { SectionChange } from './sectionChanges.js';

/** A connection without data for this long is silent, in milliseconds: three ages were missed. */
const SILENCE_TIMEOUT_MS = 850;

/** Follows another VM: receives its copy of the store and each later change over TCP. */
export class FeedClient {
  /** When the connection was started; monotonic milliseconds. */
  readonly startedAt: number;

  /** Whether the connection has ended. */
  isEnded = false;

  /** @internal */
  private readonly socket: Socket;

  /** @internal */
  private readonly reader = new FeedReader(decodeFeedMessage);

  /** @internal */
  private lastReceivedAt: number;

  /** Sections that were asked for as a whole and have not arrived yet. @internal */
  private readonly requested = new Set<Section>();

  /** Age of the sender's data in its latest `age` message. @internal */
  private lastAgeMs = Number.POSITIVE_INFINITY;

  /**
   * @param address - Peer address of the VM to follow.
   * @param view - Local copy of the store; received changes are applied to it.
   * @param clock - Source of monotonic time.
   * @param onEnd - Called with the reason when the connection ends other than by `stop`.
   * @param announce - This VM, if the followed VM is to announce it.
   */
  constructor(
    readonly address: string,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly onEnd: (reason: string) => void,
    private readonly announce?: VmAnnouncement,
  ) {
    this.startedAt = clock.now();
    this.lastReceivedAt = this.startedAt;
    const [host, port] = address.split(':');
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.socket.setEncoding('utf8');
    this.requestSections();
    this.socket.on('data', (text: string) => this.receive(text));
    this.socket.once('error', (err) => this.closeWithReason(err.message));
    this.socket.once('close', () => this.closeWithReason('closed'));
  }

  /** Whether no data has arrived for `SILENCE_TIMEOUT_MS`. */
  get isSilent(): boolean {
    return this.clock.now() - this.lastReceivedAt > SILENCE_TIMEOUT_MS;
  }

  /**
   * Age of the data that this connection delivers, in milliseconds: the last reported age plus the
   * time since data last arrived. Infinite before the first report.
   */
  getAgeMs(): number {
    return this.lastAgeMs + this.clock.now() - this.lastReceivedAt;
  }

  /** Closes the connection without calling `onEnd`. */
  stop(): void {
    this.isEnded = true;
    this.socket.destroy();
  }

  /** Asks for what this VM lacks. @internal */
  private requestSections(): void {
    const { view, announce } = this;
    const positions = SECTIONS.flatMap((section) => {
      const position = view.getPosition(section);
      return position === undefined ? [] : [[section, position]];
    });
    const version = view.table?.version;
    this.socket.write(
      writeFeedMessage({ positions: Object.fromEntries(positions), version, announce }),
    );
  }

  /** @internal */
  private closeWithReason(reason: string): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.socket.destroy();
    this.onEnd(reason);
  }

  /** @internal */
  private receive(text: string): void {
    if (this.isEnded) return;
    this.lastReceivedAt = this.clock.now();
    try {
      for (const message of this.reader.read(text)) this.handleMessage(message);
    } catch (err) {
      this.closeWithReason((err as Error).message);
    }
  }

  /** @internal */
  private applyChange(change: SectionChange<Section>): void {
    const { section, isWhole } = change;
    if (isWhole) this.requested.delete(section);
    const result = this.view.apply({ ...change, isFromPeer: true });
    if (result !== 'incomplete' || this.requested.has(section)) return;
    this.requested.add(section);
    this.requestSections();
  }

  /** @internal */
  private handleMessage(message: FeedMessage): void {
    if (message.kind === 'change') {
      this.applyChange(message);
      return;
    }
    const { ageMs, epoch, origin, count } = message;
    // A sender that has not read the targets since the store was restored has no fresh data.
    if (epoch < (this.view.getPosition('targets')?.epoch ?? epoch)) return;
    this.lastAgeMs = ageMs;
    this.view.confirmations.confirmFromPeer({ origin, count }, this.lastReceivedAt - ageMs);
  }
}
