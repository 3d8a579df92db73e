import type { TargetRegistration } from './model.js';

/** What a target has asked of this VM, and whether it has said that it ends. */
export interface TargetNotices {
  /** When the target accepts requests from this VM again; monotonic milliseconds. */
  pausedUntil: number;
  /** Whether an answer or its registration has stated a shutdown; only a new start ends that. */
  hasAnnouncedDrain: boolean;
}

/** How long the notices of a target without a registration are kept, in milliseconds. */
const FORMER_TTL_MS = 60_000;

interface FormerNotices {
  readonly notices: TargetNotices;
  readonly removedAt: number;
}

type TargetRun = Pick<TargetRegistration, 'id' | 'bornAt'>;

function getKey({ id, bornAt }: TargetRun): string {
  return `${id}|${bornAt}`;
}

/** Creates the notices of a target that has asked for nothing. */
export function createTargetNotices(): TargetNotices {
  return { pausedUntil: 0, hasAnnouncedDrain: false };
}

/**
 * Notices of targets whose registration has ended. A registration may expire while its target goes
 * on running, and what the target asked for still holds when it is registered again.
 */
export class FormerTargetNotices {
  /** @internal */
  private readonly byRun = new Map<string, FormerNotices>();

  /**
   * Keeps the notices of a target that is no longer registered.
   * @param run - The target. Without a start time its next start could not be told from this one.
   * @param notices - What it has asked for.
   * @param now - Monotonic milliseconds.
   */
  keep(run: TargetRun, notices: TargetNotices, now: number): void {
    if (run.bornAt !== 0) this.byRun.set(getKey(run), { notices, removedAt: now });
  }

  /**
   * Removes and returns the notices of a target that is registered again.
   * @param run - The target.
   * @returns Undefined if none are kept for this start of the target.
   */
  take(run: TargetRun): TargetNotices | undefined {
    const key = getKey(run);
    const former = this.byRun.get(key);
    this.byRun.delete(key);
    return former?.notices;
  }

  /** Removes the notices of targets that have not been registered for a long time. */
  removeExpired(now: number): void {
    for (const [key, { notices, removedAt }] of this.byRun) {
      const isOver = now - removedAt > FORMER_TTL_MS && notices.pausedUntil <= now;
      if (isOver) this.byRun.delete(key);
    }
  }
}
