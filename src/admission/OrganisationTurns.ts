/** Time after which a request counts half, in milliseconds. */
const HALF_LIFE_MS = 1_000;

/** Most organisations that are counted; the one counted longest ago is dropped for a new one. */
const MAX_COUNTED = 256;

/** Requests of organisations that this VM has sent to a service's targets, with decay. */
export class OrganisationTurns {
  /** @internal */
  private readonly counts = new Map<string, { sent: number; at: number }>();

  /**
   * Counts a request that was sent.
   * @param organisation - Name of its organisation.
   * @param now - Monotonic milliseconds.
   */
  recordSent(organisation: string, now: number): void {
    const sent = this.getSent(organisation, now) + 1;
    this.counts.delete(organisation);
    this.counts.set(organisation, { sent, at: now });
    if (this.counts.size <= MAX_COUNTED) return;
    const [oldest] = this.counts.keys();
    this.counts.delete(oldest);
  }

  /**
   * Returns the decayed number of requests sent for an organisation.
   * @param organisation - Its name; undefined counts as an organisation that has sent nothing.
   * @param now - Monotonic milliseconds.
   */
  getSent(organisation: string | undefined, now: number): number {
    const count = organisation === undefined ? undefined : this.counts.get(organisation);
    return count === undefined ? 0 : count.sent * 0.5 ** ((now - count.at) / HALF_LIFE_MS);
  }
}
