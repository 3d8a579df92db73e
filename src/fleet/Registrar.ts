import type { VmEntry, VmRoster } from '../balancing/index.js';
import type { EventLog } from '../logging/EventLog.js';
import type { Clock } from '../timing/index.js';
import { sleep } from '../timing/index.js';
import type { FleetStore } from './FleetStore.js';
import type { FleetView } from './FleetView.js';

/** VMs that start together have asked by then, in milliseconds after the first one did. */
const GATHER_MS = 500;

/** Others that announce VMs have done so by then, in milliseconds after this one did. */
const OTHERS_MS = 400;

/** What a registrar works with. */
export interface RegistrarParts {
  readonly self: VmEntry;
  readonly store: FleetStore;
  readonly view: FleetView;
  readonly clock: Clock;
  readonly log: EventLog;
}

/**
 * Announces other entry VMs together with this one, when all start for the first time.
 *
 * Calls to the store are paid for one by one: hundreds of VMs, each of which announces itself and then
 * reads who else did, cost as much as watching the store for a whole day. A few that all others know
 * from their settings do both for all of them. Whoever asked hears of the result as it hears of every
 * change, since it follows this VM until it knows the others.
 */
export class Registrar {
  /** By name. @internal */
  private readonly asked = new Map<string, VmEntry>();

  /** @internal */
  private isGathering = false;

  /** @param parts - What the registrar works with. */
  constructor(private readonly parts: RegistrarParts) {}

  /**
   * Takes another VM's wish to be announced.
   * @param vm - The VM.
   */
  register(vm: VmEntry): void {
    this.asked.set(vm.name, vm);
    if (this.isGathering) return;
    this.isGathering = true;
    this.parts.clock.after(GATHER_MS, () => this.announce());
  }

  /**
   * All that this VM announces, with those that an earlier process of it did: left out, each of them
   * would have to announce itself.
   * @internal
   */
  private makeRoster(before: VmRoster | undefined): VmRoster {
    const vms = [...(before?.vms ?? []), this.parts.self, ...this.asked.values()];
    return { vms: [...new Map(vms.map((vm) => [vm.name, vm])).values()] };
  }

  /** @internal */
  private async announce(): Promise<void> {
    const { self, store, view, log, clock } = this.parts;
    this.isGathering = false;
    const before = view.rosters.get(self.name);
    const roster = this.makeRoster(before);
    try {
      await store.announce(self.name, roster, before !== undefined);
      log.write('fleet.announced', { vms: roster.vms.length });
      await sleep(clock, OTHERS_MS);
      const { items, revision } = await store.list('vms');
      view.apply({ section: 'vms', items, revision, isWhole: true });
    } catch (err) {
      // Those who asked hear nothing, and announce themselves.
      log.write('store.callFailed', { section: 'vms', message: (err as Error).message });
    }
  }
}
