import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import type { VmAnnouncement } from '../balancing/index.js';
import type { ListenAddress } from '../config/index.js';
import { hashText } from '../core/hash.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';

/**
 * Entry VMs that each VM monitors; a fixed number, so that the cost does not grow with the fleet.
 */
const NEIGHBOUR_COUNT = 6;

/** Interval of pings, in milliseconds. */
const PING_INTERVAL_MS = 900;

/**
 * A VM that has not answered for this long is down, in milliseconds; one lost ping is tolerated.
 */
const DOWN_AFTER_MS = 2_400;

/** A ping, or an answer with the state of its sender. */
type HealthMessage = 'ping' | 'ready' | 'leaving';

const HEALTH_MESSAGES: ReadonlySet<string> = new Set(['ping', 'ready', 'leaving']);

interface NeighbourState {
  lastAnswerAt: number;
  isReady: boolean;
}

/** Dependencies of `NeighbourMonitor`. */
export interface NeighbourMonitorParts {
  readonly self: VmAnnouncement;
  readonly listen: ListenAddress;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether this VM accepts callers. */
  isReady(): boolean;
  /** Called after the set of ready neighbours has changed. */
  onChange(): void;
  /** Called with each datagram that is not a `HealthMessage`. */
  onMessage?(text: string, address: string): void;
}

/**
 * Monitors a few other entry VMs by pings, so that callers are not given addresses of VMs that are
 * down. A hash of both names selects the neighbours, so each VM is monitored by about the same
 * number of others. Also sends and receives the other datagrams between VMs on the same socket.
 */
export class NeighbourMonitor {
  /** @internal */
  private readonly socket: Socket = createSocket('udp4');

  /** State of each neighbour, by peer address. @internal */
  private readonly states = new Map<string, NeighbourState>();

  /** Time of the last ping of each VM that monitors this one, by its address. @internal */
  private readonly lastPingAt = new Map<string, number>();

  /** @internal */
  private neighbours: readonly VmAnnouncement[] = [];

  /** @internal */
  private lastReadyNames = '';

  /** @param parts - Dependencies. */
  constructor(private readonly parts: NeighbourMonitorParts) {}

  /** Starts to answer pings and to ping the neighbours. */
  start(timers: TimerService): void {
    const { listen, log } = this.parts;
    this.socket.on('message', (data, { address, port }) =>
      this.receive(data.toString(), `${address}:${port}`),
    );
    this.socket.on('error', (err) =>
      log.write('neighbours.socketFailed', { message: err.message }),
    );
    this.socket.bind(listen.port, listen.host);
    timers.subscribe(PING_INTERVAL_MS, () => this.pingNeighbours());
  }

  /**
   * Selects the neighbours again, and pings new ones at once.
   * @param vms - All entry VMs that have announced themselves.
   */
  update(vms: Iterable<VmAnnouncement>): void {
    const { self, clock } = this.parts;
    const now = clock.now();
    this.neighbours = [...vms]
      .filter(({ name }) => name !== self.name)
      .map((vm) => ({ vm, weight: hashText(`${self.name}|${vm.name}`) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, NEIGHBOUR_COUNT)
      .map(({ vm }) => vm);
    const addresses = new Set(this.neighbours.map(({ peers }) => peers));
    for (const address of this.states.keys()) {
      if (!addresses.has(address)) this.states.delete(address);
    }
    for (const { peers } of this.neighbours) {
      if (this.states.has(peers)) continue;
      // Not ready, and so not given to callers, before the first answer.
      this.states.set(peers, { lastAnswerAt: now, isReady: false });
      this.sendHealthMessage('ping', peers);
    }
  }

  /** Neighbours that are up and accept callers. */
  getReadyVms(): VmAnnouncement[] {
    const now = this.parts.clock.now();
    return this.neighbours.filter(({ peers }) => {
      const state = this.states.get(peers);
      return state !== undefined && state.isReady && now - state.lastAnswerAt < DOWN_AFTER_MS;
    });
  }

  /** Names of neighbours that have not answered for too long. */
  getDownNames(): string[] {
    const now = this.parts.clock.now();
    return this.neighbours
      .filter(({ peers }) => now - (this.states.get(peers)?.lastAnswerAt ?? now) >= DOWN_AFTER_MS)
      .map(({ name }) => name);
  }

  /** Tells the VMs that monitor this one that it accepts no more callers. */
  announceLeaving(): void {
    for (const address of this.lastPingAt.keys()) this.sendHealthMessage('leaving', address);
  }

  /**
   * Sends a datagram to any VM; failures are logged.
   * @param text - Content of the datagram.
   * @param address - Peer address.
   */
  send(text: string, address: string): void {
    const [host, port] = address.split(':');
    this.socket.send(text, Number(port), host, (err) => {
      if (err) this.parts.log.write('neighbours.sendFailed', { address, message: err.message });
    });
  }

  /**
   * Sends a datagram to each neighbour.
   * @param text - Content of the datagram.
   */
  sendToAll(text: string): void {
    for (const { peers } of this.neighbours) this.send(text, peers);
  }

  /**
   * Sends a datagram to each neighbour, and to each VM that has this one as a neighbour. Sent along
   * both directions, news reach also a VM that no other one has chosen.
   * @param text - Content of the datagram.
   */
  sendToLinked(text: string): void {
    const addresses = this.neighbours.map(({ peers }) => peers);
    for (const address of new Set([...addresses, ...this.lastPingAt.keys()])) {
      this.send(text, address);
    }
  }

  /** Closes the socket. */
  stop(): void {
    this.socket.close();
  }

  /** @internal */
  private pingNeighbours(): void {
    for (const { peers } of this.neighbours) this.sendHealthMessage('ping', peers);
    const { clock, onChange } = this.parts;
    const oldest = clock.now() - DOWN_AFTER_MS;
    for (const [address, at] of this.lastPingAt) if (at < oldest) this.lastPingAt.delete(address);
    const readyNames = this.getReadyVms()
      .map(({ name }) => name)
      .join();
    if (readyNames === this.lastReadyNames) return;
    this.lastReadyNames = readyNames;
    onChange();
  }

  /** @internal */
  private receive(text: string, address: string): void {
    const { clock, isReady, onMessage } = this.parts;
    if (!HEALTH_MESSAGES.has(text)) {
      onMessage?.(text, address);
      return;
    }
    if (text === 'ping') {
      this.lastPingAt.set(address, clock.now());
      this.sendHealthMessage(isReady() ? 'ready' : 'leaving', address);
      return;
    }
    const state = this.states.get(address);
    if (state === undefined) return;
    state.lastAnswerAt = clock.now();
    state.isReady = text === 'ready';
  }

  /** @internal */
  private sendHealthMessage(message: HealthMessage, address: string): void {
    this.send(message, address);
  }
}
