import type { VmAnnouncement, VmRoster } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock } from '../timing/index.js';
import { sleep } from '../timing/index.js';
import type { FleetStore } from './FleetStore.js';
import type { FleetView } from './FleetView.js';

/** Time from the first request to the announcement, in milliseconds; requests are batched in it. */
const BATCH_WINDOW_MS = 500;

/** Time in which the other registrars have made their announcements too, in milliseconds. */
const OTHER_REGISTRARS_MS = 400;

/** Dependencies of `Registrar`. */
export interface RegistrarParts {
  readonly self: VmAnnouncement;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * Announces other entry VMs together with this one when all VMs start for the first time.
 *
 * Each call to the store is billed: if hundreds of VMs announce themselves and then list the
 * others, this costs as much as watching the store for a whole day. A few VMs that the settings of
 * all others name, the seeds, therefore do both for all. A VM that asked to be announced follows
 * this VM meanwhile, and so receives the list like any other change.
 */
export class Registrar {
  /** VMs that asked to be announced, by name. @internal */
  private readonly requested = new Map<string, VmAnnouncement>();

  /** @internal */
  private isBatchPending = false;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: RegistrarParts) {}

  /**
   * Accepts the request of another VM to be announced; it is announced with the next batch.
   * @param vm - The VM.
   */
  register(vm: VmAnnouncement): void {
    this.requested.set(vm.name, vm);
    if (this.isBatchPending) return;
    this.isBatchPending = true;
    this.parts.clock.after(BATCH_WINDOW_MS, () => this.announce());
  }

  /**
   * Makes the roster of this VM. It includes VMs that an earlier process of this VM announced,
   * which would otherwise have to announce themselves.
   * @internal
   */
  private makeRoster(previous: VmRoster | undefined): VmRoster {
    const vms = [...(previous?.vms ?? []), this.parts.self, ...this.requested.values()];
    return { vms: [...new Map(vms.map((vm) => [vm.name, vm])).values()] };
  }

  /** @internal */
  private async announce(): Promise<void> {
    const { self, store, view, log, clock } = this.parts;
    this.isBatchPending = false;
    const previous = view.rosters.get(self.name);
    const roster = this.makeRoster(previous);
    try {
      await store.announce(self.name, roster, previous !== undefined);
      log.write('fleet.announced', { vms: roster.vms.length });
      await sleep(clock, OTHER_REGISTRARS_MS);
      const { items, position } = await store.list('vms');
      view.apply({ section: 'vms', items, position, isWhole: true });
    } catch (err) {
      // The VMs that asked get no answer, and announce themselves.
      log.write('store.callFailed', { section: 'vms', message: (err as Error).message });
    }
  }
}
