import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import type { VmEntry } from '../balancing/index.js';
import type { ListenAddress } from '../config/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { KnownState } from './feedMessages.js';
import { FeedReader, writeFeedMessage } from './feedMessages.js';
import type { Section } from './FleetStore.js';
import { SECTIONS } from './FleetStore.js';
import type { FleetView } from './FleetView.js';

/** How often followers are told how fresh the word is, in milliseconds. */
export const FEED_AGE_MS = 250;

/** A follower that reads so slowly that this much waits for it is cut off, in bytes. */
const MOST_WAITING = 8 * 1024 * 1024;

/** Tells other entry VMs what is known of the store, and each change as it comes. */
export class FeedServer {
  /** Messages sent so far, to all followers. */
  sent = 0;

  /** @internal */
  private readonly followers = new Set<Socket>();

  /** @internal */
  private readonly server: Server;

  /**
   * @param view - What is told.
   * @param log - Where lines go.
   * @param onAnnounce - Told of VMs that wish to be announced to all others.
   */
  constructor(
    private readonly view: FleetView,
    private readonly log: EventLog,
    private readonly onAnnounce: (vm: VmEntry) => void = () => {},
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.on('error', (err) => log.write('feed.listenFailed', { message: err.message }));
    view.onChange((change) => this.tell(writeFeedMessage({ kind: 'change', ...change })));
  }

  /** Begins to listen. */
  start({ host, port }: ListenAddress): void {
    this.server.listen(port, host);
  }

  /** Ends all connections. */
  stop(): void {
    this.server.close();
    for (const socket of this.followers) socket.destroy();
  }

  /** Tells how fresh the word is. */
  tellAge(): void {
    if (this.followers.size === 0) return;
    const ageMs = this.view.getAgeMs();
    const confirmation = this.view.getConfirmation();
    if (!Number.isFinite(ageMs) || confirmation === undefined) return;
    this.tell(writeFeedMessage({ kind: 'age', ageMs: Math.ceil(ageMs), ...confirmation }));
  }

  /** @internal */
  private accept(socket: Socket): void {
    socket.on('error', (err) => this.log.write('feed.followerLost', { message: err.message }));
    socket.once('close', () => this.followers.delete(socket));
    const reader = new FeedReader<KnownState>();
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => {
      try {
        for (const known of reader.read(text)) {
          if (known.announce !== undefined) this.onAnnounce(known.announce);
          this.greet(socket, known);
        }
      } catch (err) {
        this.log.write('feed.followerLost', { message: (err as Error).message });
        socket.destroy();
      }
    });
  }

  /**
   * Tells a new follower what it does not know. While the store is away all VMs look for one that
   * knows more; the whole content with each new connection would cost as much as all callers' bytes.
   * @internal
   */
  private greet(socket: Socket, known: KnownState): void {
    for (const section of SECTIONS) {
      if (!this.isNews(section, known)) continue;
      socket.write(writeFeedMessage({ kind: 'change', ...this.view.getWhole(section) }));
      this.sent += 1;
    }
    this.followers.add(socket);
    this.tellAge();
  }

  /** @internal */
  private isNews(section: Section, { revisions, version }: KnownState): boolean {
    // The store's revision moves on with every change anywhere; the largest section seldom changes.
    if (section === 'configuration' && version === this.view.table?.version) return false;
    const revision = this.view.getRevision(section);
    return revision !== undefined && revision > (revisions[section] ?? -1);
  }

  /** @internal */
  private tell(line: string): void {
    for (const socket of this.followers) {
      socket.write(line);
      this.sent += 1;
      if (socket.writableLength > MOST_WAITING) socket.destroy();
    }
  }
}
