import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';

import type { VmEntry } from '../balancing/index.js';
import type { ListenAddress } from '../config/index.js';
import { hashText } from '../core/hash.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock, TimerService } from '../timing/index.js';

/** Entry VMs that each one watches; what it costs does not grow with the fleet. */
const NEIGHBOURS = 6;

const PING_MS = 900;

/** Without an answer for so long, which two lost datagrams alone don't make, a VM is down. */
const SILENT_MS = 2_400;

/** What a datagram says: a question, or how its sender stands. */
type Word = 'ping' | 'ready' | 'leaving';

const WORDS: ReadonlySet<string> = new Set(['ping', 'ready', 'leaving']);

interface NeighbourState {
  heardAt: number;
  isReady: boolean;
}

/** What the watch over neighbours works with. */
export interface NeighbourParts {
  readonly self: VmEntry;
  readonly listen: ListenAddress;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether this VM takes callers. */
  isReady(): boolean;
  onChange(): void;
  /** Told of each datagram that is no word of this watch. */
  onMessage?(text: string, address: string): void;
}

/**
 * Watches a few other entry VMs by datagrams, so that callers are told of none that is down.
 * Which ones is drawn by a hash of both names: each VM is watched by about as many others.
 */
export class Neighbours {
  /** @internal */
  private readonly socket: Socket = createSocket('udp4');

  /** By peer address. @internal */
  private readonly states = new Map<string, NeighbourState>();

  /** VMs that asked lately, by address; they are told at once when this one leaves. @internal */
  private readonly askers = new Map<string, number>();

  /** @internal */
  private chosen: readonly VmEntry[] = [];

  /** @internal */
  private lastUp = '';

  /** @param parts - What the watch works with. */
  constructor(private readonly parts: NeighbourParts) {}

  /** Begins to answer and to ask. */
  start(timers: TimerService): void {
    const { listen, log } = this.parts;
    this.socket.on('message', (data, { address, port }) =>
      this.hear(data.toString(), `${address}:${port}`),
    );
    this.socket.on('error', (err) =>
      log.write('neighbours.socketFailed', { message: err.message }),
    );
    this.socket.bind(listen.port, listen.host);
    timers.subscribe(PING_MS, () => this.ask());
  }

  /**
   * Draws neighbours anew.
   * @param vms - All entry VMs that have announced themselves.
   */
  update(vms: Iterable<VmEntry>): void {
    const { self, clock } = this.parts;
    const now = clock.now();
    this.chosen = [...vms]
      .filter(({ name }) => name !== self.name)
      .map((vm) => ({ vm, weight: hashText(`${self.name}|${vm.name}`) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, NEIGHBOURS)
      .map(({ vm }) => vm);
    const addresses = new Set(this.chosen.map(({ peers }) => peers));
    for (const address of this.states.keys()) {
      if (!addresses.has(address)) this.states.delete(address);
    }
    for (const { peers } of this.chosen) {
      if (this.states.has(peers)) continue;
      // Not told to callers before it has answered once.
      this.states.set(peers, { heardAt: now, isReady: false });
      this.say('ping', peers);
    }
  }

  /** Neighbours that are up and take callers. */
  getReady(): VmEntry[] {
    const now = this.parts.clock.now();
    return this.chosen.filter(({ peers }) => {
      const state = this.states.get(peers);
      return state !== undefined && state.isReady && now - state.heardAt < SILENT_MS;
    });
  }

  /** Names of neighbours that were asked and are silent. */
  getDown(): string[] {
    const now = this.parts.clock.now();
    return this.chosen
      .filter(({ peers }) => now - (this.states.get(peers)?.heardAt ?? now) >= SILENT_MS)
      .map(({ name }) => name);
  }

  /** Tells those who watch this VM that it takes no more callers. */
  leave(): void {
    for (const address of this.askers.keys()) this.say('leaving', address);
  }

  /**
   * Sends a datagram to any VM.
   * @param text - What it says.
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
   * @param text - What it says.
   */
  sendToAll(text: string): void {
    for (const { peers } of this.chosen) this.send(text, peers);
  }

  /** Ends the watch. */
  stop(): void {
    this.socket.close();
  }

  /** @internal */
  private ask(): void {
    for (const { peers } of this.chosen) this.say('ping', peers);
    const { clock, onChange } = this.parts;
    const oldest = clock.now() - SILENT_MS;
    for (const [address, at] of this.askers) if (at < oldest) this.askers.delete(address);
    const up = this.getReady()
      .map(({ name }) => name)
      .join();
    if (up === this.lastUp) return;
    this.lastUp = up;
    onChange();
  }

  /** @internal */
  private hear(word: string, address: string): void {
    const { clock, isReady, onMessage } = this.parts;
    if (!WORDS.has(word)) {
      onMessage?.(word, address);
      return;
    }
    if (word === 'ping') {
      this.askers.set(address, clock.now());
      this.say(isReady() ? 'ready' : 'leaving', address);
      return;
    }
    const state = this.states.get(address);
    if (state === undefined) return;
    state.heardAt = clock.now();
    state.isReady = word === 'ready';
  }

  /** @internal */
  private say(word: Word, address: string): void {
    this.send(word, address);
  }
}
