import type { RoutingTable, TargetEntry, VmEntry } from '../balancing/index.js';
import type { Section, StoredItem } from './FleetStore.js';

const APPLY: { readonly [S in Section]: (view: FleetView, item: StoredItem<S>) => void } = {
  configuration: (view, { value }) => {
    // An older one may come late, from a peer or a lost call; it never replaces a later one.
    if (value !== undefined && value.version > (view.table?.version ?? -1)) view.table = value;
  },
  targets: (view, { name, value }) => {
    if (value === undefined) view.targets.delete(name);
    else view.targets.set(name, value);
  },
  zonesOut: (view, { name, value }) => {
    if (value === undefined) view.zonesOut.delete(name);
    else view.zonesOut.add(name);
  },
  vms: (view, { name, value }) => {
    if (value === undefined) view.vms.delete(name);
    else view.vms.set(name, value);
  },
};

const NAMES: Readonly<Record<Section, (view: FleetView) => string[]>> = {
  configuration: () => [],
  targets: (view) => [...view.targets.keys()],
  zonesOut: (view) => [...view.zonesOut],
  vms: (view) => [...view.vms.keys()],
};

/** What is known of the store's content. */
export class FleetView {
  /** The latest configuration. */
  table: RoutingTable | undefined;

  readonly targets = new Map<string, TargetEntry>();

  readonly zonesOut = new Set<string>();

  readonly vms = new Map<string, VmEntry>();

  /** @internal */
  private readonly listeners: ((section: Section) => void)[] = [];

  /**
   * Tells of each change from now on.
   * @param listener - Told which part changed, after it did.
   */
  onChange(listener: (section: Section) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes changes in.
   * @param section - Part that they belong to.
   * @param items - Objects that changed or went.
   */
  apply<S extends Section>(section: S, items: readonly StoredItem<S>[]): void {
    if (items.length === 0) return;
    for (const item of items) APPLY[section](this, item);
    for (const listener of this.listeners) listener(section);
  }

  /**
   * Names of a section's objects.
   * @param section - The section.
   */
  getNames(section: Section): string[] {
    return NAMES[section](this);
  }
}
