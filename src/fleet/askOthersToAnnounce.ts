import type { VmEntry } from '../balancing/index.js';
import { hashText } from '../core/hash.js';
import type { Clock } from '../timing/index.js';
import { sleep } from '../timing/index.js';
import type { FleetView } from './FleetView.js';

/**
 * A VM that the settings name has announced this one after so long, or is down, in milliseconds; and
 * the time after which this one announces itself, since all of them are.
 */
const ASK_MS = 2_000;
const ASK_MOST_MS = 3_000;

/** Pause between two VMs that are asked, in milliseconds: processes start at slightly different times. */
const ASK_PAUSE_MS = 100;

/** What asking works with. */
export interface AnnouncementParts {
  readonly self: VmEntry;
  readonly view: FleetView;
  readonly clock: Clock;
  /** Peer addresses of VMs that the settings name. */
  readonly seeds: readonly string[];
  /**
   * Asks another VM to announce this one, and hears from it what it knows until it is stopped.
   * @param address - Peer address.
   * @param onEnd - Told that the connection has ended by itself.
   */
  ask(address: string, onEnd: () => void): { stop(): void };
}

async function askOther(
  { self, clock, view, ask }: AnnouncementParts,
  address: string,
): Promise<boolean> {
  let finish: (isAnnounced: boolean) => void = () => {};
  const outcome = new Promise<boolean>((resolve) => {
    finish = resolve;
  });
  const client = ask(address, () => finish(false));
  clock.after(ASK_MS, () => finish(false));
  view.onChange(() => {
    if (view.vms.has(self.name)) finish(true);
  });
  const isAnnounced = await outcome;
  client.stop();
  return isAnnounced;
}

/**
 * Has one of the VMs that the settings name announce this one, so that hundreds of VMs that start
 * together take a few calls to the store between them. Each begins with one drawn by its name.
 * @param parts - What asking works with.
 * @returns Whether it is announced.
 */
export async function askOthersToAnnounce(parts: AnnouncementParts): Promise<boolean> {
  const { seeds, self, clock } = parts;
  const endsAt = clock.now() + ASK_MOST_MS;
  for (let i = hashText(self.name); seeds.length > 0 && clock.now() < endsAt; i++) {
    if (await askOther(parts, seeds[i % seeds.length])) return true;
    await sleep(clock, ASK_PAUSE_MS);
  }
  return false;
}
