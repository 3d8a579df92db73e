import type { VmAnnouncement } from '../balancing/index.js';
import { hashText } from '../core/hash.js';
import type { Clock } from '../timing/index.js';
import { sleep } from '../timing/index.js';
import type { FleetView } from './FleetView.js';

/** A seed that has not announced this VM within this time counts as down, in milliseconds. */
const SEED_TIMEOUT_MS = 2_000;

/** No further seed is asked after this time, in milliseconds; this VM then announces itself. */
const TOTAL_TIMEOUT_MS = 3_000;

/**
 * Pause before the next seed is asked, in milliseconds: it may start slightly later than this VM.
 */
const SEED_PAUSE_MS = 100;

/** Dependencies of `askSeedsToAnnounce`. */
export interface AnnouncementParts {
  readonly self: VmAnnouncement;
  readonly view: FleetView;
  readonly clock: Clock;
  /** Peer addresses of the VMs that the settings name. */
  readonly seeds: readonly string[];
  /**
   * Connects to another VM, asks it to announce this one, and follows it until stopped.
   * @param address - Peer address.
   * @param onEnd - Called when the connection ends other than by `stop`.
   */
  requestAnnouncement(address: string, onEnd: () => void): { stop(): void };
}

async function askSeed(
  { self, clock, view, requestAnnouncement }: AnnouncementParts,
  address: string,
): Promise<boolean> {
  let finish: (isAnnounced: boolean) => void = () => {};
  const outcome = new Promise<boolean>((resolve) => {
    finish = resolve;
  });
  const client = requestAnnouncement(address, () => finish(false));
  clock.after(SEED_TIMEOUT_MS, () => finish(false));
  view.onChange(() => {
    if (view.vms.has(self.name)) finish(true);
  });
  const isAnnounced = await outcome;
  client.stop();
  return isAnnounced;
}

/**
 * Asks the seeds one after the other to announce this VM, so that hundreds of VMs that start
 * together need only a few store calls. A hash of the VM's name selects the first seed, which
 * spreads the VMs.
 * @param parts - Dependencies.
 * @returns Whether a seed has announced this VM.
 */
export async function askSeedsToAnnounce(parts: AnnouncementParts): Promise<boolean> {
  const { seeds, self, clock } = parts;
  const endsAt = clock.now() + TOTAL_TIMEOUT_MS;
  for (let i = hashText(self.name); seeds.length > 0 && clock.now() < endsAt; i++) {
    if (await askSeed(parts, seeds[i % seeds.length])) return true;
    await sleep(clock, SEED_PAUSE_MS);
  }
  return false;
}
