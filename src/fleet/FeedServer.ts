import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';

import type { VmAnnouncement } from '../balancing/index.js';
import type { ListenAddress } from '../config/index.js';
import { comparePositions, UNKNOWN_EPOCH } from '../core/model/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { FollowRequest } from './feedMessages.js';
import { decodeFollowRequest, FeedReader, writeFeedMessage } from './feedMessages.js';
import type { Section } from './FleetStore.js';
import { SECTIONS } from './FleetStore.js';
import type { FleetView } from './FleetView.js';
import type { SectionChange } from './sectionChanges.js';

/** How often followers are sent the age of the data, in milliseconds. */
export const AGE_BROADCAST_INTERVAL_MS = 250;

/** A follower with more unsent data than this is disconnected, in bytes. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Serves this VM's copy of the store, and each later change, to entry VMs that follow it. */
export class FeedServer {
  /** Number of messages sent so far to all followers. */
  sentMessages = 0;

  /** @internal */
  private readonly followers = new Set<Socket>();

  /** @internal */
  private readonly server: Server;

  /**
   * @param view - Local copy of the store.
   * @param log - Receives connection errors.
   * @param onAnnounce - Called with each follower that asks to be announced.
   */
  constructor(
    private readonly view: FleetView,
    private readonly log: EventLog,
    private readonly onAnnounce: (vm: VmAnnouncement) => void = () => {},
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.on('error', (err) => log.write('feed.listenFailed', { message: err.message }));
    view.onChange((change) => this.broadcast(writeFeedMessage({ kind: 'change', ...change })));
  }

  /** Starts to listen. */
  start({ host, port }: ListenAddress): void {
    this.server.listen(port, host);
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.close();
    for (const socket of this.followers) socket.destroy();
  }

  /** Sends the age of the data to all followers, unless the store has not confirmed it yet. */
  broadcastAge(): void {
    if (this.followers.size === 0) return;
    const ageMs = this.view.confirmations.getAgeMs();
    const confirmation = this.view.confirmations.latest;
    if (!Number.isFinite(ageMs) || confirmation === undefined) return;
    const epoch = this.view.getPosition('targets')?.epoch ?? UNKNOWN_EPOCH;
    const age = { ageMs: Math.ceil(ageMs), epoch, ...confirmation };
    this.broadcast(writeFeedMessage({ kind: 'age', ...age }));
  }

  /** @internal */
  private accept(socket: Socket): void {
    socket.on('error', (err) => this.log.write('feed.followerLost', { message: err.message }));
    socket.once('close', () => this.followers.delete(socket));
    const reader = new FeedReader(decodeFollowRequest);
    socket.setEncoding('utf8');
    socket.on('data', (text: string) => {
      try {
        for (const request of reader.read(text)) {
          if (request.announce !== undefined) this.onAnnounce(request.announce);
          this.sendMissingSections(socket, request);
        }
      } catch (err) {
        this.log.write('feed.followerLost', { message: (err as Error).message });
        socket.destroy();
      }
    });
  }

  /**
   * Sends a new follower the sections that it lacks. During a store outage all VMs reconnect in
   * search of a more recent copy; to send all sections on each connection would cost as many bytes
   * as the traffic of all callers.
   * @internal
   */
  private sendMissingSections(socket: Socket, request: FollowRequest): void {
    for (const section of SECTIONS) {
      const change = this.getLacking(section, request);
      if (change === undefined) continue;
      socket.write(writeFeedMessage({ kind: 'change', ...change }));
      this.sentMessages += 1;
    }
    this.followers.add(socket);
    this.broadcastAge();
  }

  /**
   * Returns what a follower lacks of a section; undefined if it lacks nothing.
   * @internal
   */
  private getLacking(
    section: Section,
    { positions, version }: FollowRequest,
  ): SectionChange<Section> | undefined {
    const position = this.view.getPosition(section);
    if (position === undefined) return undefined;
    const known = positions[section];
    const isLater = known === undefined || comparePositions(position, known) > 0;
    if (section !== 'configuration') return isLater ? this.view.getSnapshot(section) : undefined;
    // The configuration is the largest section and seldom changes, so it is not sent again while
    // its own version is the same. Its version also decides which of two is the later one.
    if ((this.view.table?.version ?? -1) > (version ?? -1)) return this.view.getSnapshot(section);
    const isOtherEpoch = known !== undefined && known.epoch !== position.epoch;
    return isLater && isOtherEpoch ? { section, items: [], position, isWhole: false } : undefined;
  }

  /** @internal */
  private broadcast(line: string): void {
    for (const socket of this.followers) {
      socket.write(line);
      this.sentMessages += 1;
      if (socket.writableLength > MAX_BUFFERED_BYTES) socket.destroy();
    }
  }
}
