import type { Clock } from '../timing/index.js';

/** Bytes of the IP and UDP headers of a datagram. */
const HEADER_BYTES = 28;

/** Datagrams between simulated VMs; VMs that are cut off reach none, and none reach them. */
export class QuotaNetwork {
  /** VMs that are cut off or down, by index. */
  readonly cut = new Set<number>();

  messages = 0;

  bytes = 0;

  /**
   * @param clock - Virtual clock.
   * @param delayMs - One-way delay.
   */
  constructor(
    private readonly clock: Clock,
    readonly delayMs: number,
  ) {}

  /**
   * Sends a datagram.
   * @param from - Index of the sending VM.
   * @param to - Index of the receiving VM.
   * @param bytes - Length of its content.
   * @param deliver - Called when it arrives.
   */
  send(from: number, to: number, bytes: number, deliver: () => void): void {
    this.messages += 1;
    this.bytes += bytes + HEADER_BYTES;
    if (this.cut.has(from)) return;
    this.clock.after(this.delayMs, () => {
      if (!this.cut.has(to) && !this.cut.has(from)) deliver();
    });
  }
}
