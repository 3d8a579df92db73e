import type { VirtualClock } from './VirtualClock.js';

/** How long one hop takes, in milliseconds. */
export interface NetworkOptions {
  /** Between two availability zones, and from a VM to the store. */
  readonly hopMs: number;
  /** Within an availability zone. */
  readonly zoneHopMs: number;
  /** Between a client and a VM. */
  readonly clientHopMs: number;
  /** Share by which a hop may take longer, drawn for each message; 0 keeps messages in order. */
  readonly jitterShare: number;
}

/** Links between endpoints, named by VM, target, `store` or `client`, each of which may be cut. */
export class VirtualNetwork {
  /** Chance that a message between entry VMs vanishes, between 0 and 1. */
  dropShare = 0;

  /** When each cut link was cut. @internal */
  private readonly cuts = new Map<string, number>();

  /** @internal */
  private readonly zones = new Map<string, string>();

  /**
   * @param clock - Time to go by.
   * @param random - Uniform in [0, 1).
   * @param options - Lengths of the hops.
   */
  constructor(
    private readonly clock: VirtualClock,
    private readonly random: () => number,
    readonly options: NetworkOptions,
  ) {}

  /**
   * Cuts the way from one endpoint to another; the way back stays.
   * @param from - Endpoint that sends.
   * @param to - Endpoint that no longer hears.
   */
  cutOneWay(from: string, to: string): void {
    this.cuts.set(`${from}>${to}`, this.clock.now());
  }

  /**
   * Cuts two endpoints off from one another.
   * @param left - One endpoint.
   * @param right - The other.
   */
  cut(left: string, right: string): void {
    this.cutOneWay(left, right);
    this.cutOneWay(right, left);
  }

  /** Mends all links. */
  heal(): void {
    this.cuts.clear();
  }

  /**
   * Whether a message sent now is lost.
   * @param from - Endpoint that sends.
   * @param to - Endpoint that should hear.
   */
  isCut(from: string, to: string): boolean {
    return this.cuts.size > 0 && this.cuts.has(`${from}>${to}`);
  }

  /**
   * For how long a link has been cut, in milliseconds; 0 if it is whole.
   * @param from - Endpoint that sends.
   * @param to - Endpoint that should hear.
   */
  getCutMs(from: string, to: string): number {
    const since = this.cuts.get(`${from}>${to}`);
    return since === undefined ? 0 : this.clock.now() - since;
  }

  /** Whether a message between entry VMs vanishes; drawn anew for each. */
  drops(): boolean {
    return this.dropShare > 0 && this.random() < this.dropShare;
  }

  /**
   * Says in which availability zone an endpoint is.
   * @param endpoint - Name of a machine or target.
   * @param zone - Its zone.
   */
  place(endpoint: string, zone: string): void {
    this.zones.set(endpoint, zone);
  }

  /**
   * Time of one hop, in milliseconds.
   * @param from - Endpoint that sends.
   * @param to - Endpoint that hears.
   */
  hop(from: string, to: string): number {
    const { hopMs, zoneHopMs, jitterShare } = this.options;
    const isLocal = this.zones.get(from) === this.zones.get(to);
    const least = isLocal ? zoneHopMs : hopMs;
    return jitterShare === 0 ? least : least * (1 + jitterShare * this.random());
  }
}
