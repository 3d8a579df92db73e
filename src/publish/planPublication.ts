import type {
  ConfigRoot,
  Publication,
  ServiceConfig,
  ServiceObject,
  ZoneConfig,
} from '../core/index.js';

import { hashService } from './hashService.js';

/** Configuration that an operator wants to publish. */
export interface DesiredConfiguration {
  readonly zones: readonly ZoneConfig[];
  readonly services: readonly ServiceConfig[];
}

/** Changes that a publication would make. */
export interface PublicationPlan {
  /** Generation that the publication would have. */
  readonly generation: number;
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
  /** One short sentence for each zone that changes. */
  readonly zones: readonly string[];
  /** Service descriptions that the configuration in force does not contain. */
  readonly newObjects: readonly ServiceObject[];
  readonly hashes: Readonly<Record<string, string>>;
}

/** Recent publications listed in the root, so that a refusal can name the changes since the base. */
const MAX_RECENT_PUBLICATIONS = 32;

/** Name that stands for changes of `zones.ini` in a publication's list of changes. */
const ZONES_CHANGE_NAME = 'zones';

function describeZoneChanges(
  before: readonly ZoneConfig[],
  after: readonly ZoneConfig[],
): string[] {
  const old = new Map(before.map((zone) => [zone.name, zone]));
  const changes = after.flatMap((zone) => {
    const known = old.get(zone.name);
    old.delete(zone.name);
    if (!known) return `zone ${zone.name} is added (${zone.state})`;
    if (known.state !== zone.state) return `zone ${zone.name} goes ${zone.state}`;
    return known.region === zone.region ? [] : `zone ${zone.name} moves to region ${zone.region}`;
  });
  return [...changes, ...[...old.keys()].map((name) => `zone ${name} is removed`)];
}

/**
 * Computes the changes that a publication would make.
 * @param root - Configuration in force; undefined before the first publication.
 * @param desired - Configuration to publish.
 */
export function planPublication(
  root: ConfigRoot | undefined,
  desired: DesiredConfiguration,
): PublicationPlan {
  const before = root?.services ?? {};
  const generation = (root?.generation ?? 0) + 1;
  const objects = desired.services.map((service) => ({
    hash: hashService(service),
    service,
    writtenFor: generation,
  }));
  const hashes = Object.fromEntries(objects.map(({ hash, service }) => [service.name, hash]));
  const newObjects = objects.filter(({ hash, service }) => before[service.name] !== hash);
  const names = newObjects.map(({ service }) => service.name);
  return {
    generation,
    added: names.filter((name) => !Object.hasOwn(before, name)),
    changed: names.filter((name) => Object.hasOwn(before, name)),
    removed: Object.keys(before).filter((name) => !Object.hasOwn(hashes, name)),
    zones: describeZoneChanges(root?.zones ?? [], desired.zones),
    newObjects,
    hashes,
  };
}

/**
 * Whether a plan contains no changes.
 * @param plan - Plan of a publication.
 */
export function isEmptyPlan(plan: PublicationPlan): boolean {
  return plan.newObjects.length + plan.removed.length + plan.zones.length === 0;
}

/**
 * Creates the root that a publication writes.
 * @param root - Configuration in force; undefined before the first publication.
 * @param plan - Changes of the publication.
 * @param zones - Availability zones to publish.
 * @param nonce - Unique value of the publication.
 */
export function createRoot(
  root: ConfigRoot | undefined,
  plan: PublicationPlan,
  zones: readonly ZoneConfig[],
  nonce: string,
): ConfigRoot {
  const publication: Publication = {
    generation: plan.generation,
    nonce,
    changed: [
      ...(plan.zones.length > 0 ? [ZONES_CHANGE_NAME] : []),
      ...plan.added,
      ...plan.changed,
      ...plan.removed,
    ],
  };
  return {
    generation: plan.generation,
    zones,
    services: plan.hashes,
    nonce,
    recent: [...(root?.recent ?? []), publication].slice(-MAX_RECENT_PUBLICATIONS),
  };
}

/**
 * Lists the services, or `zones`, that were changed after a generation, as far as the root records it.
 * @param root - Configuration in force.
 * @param base - Generation that the operator's changes are based on.
 */
export function getChangedSince(root: ConfigRoot, base: number): string[] {
  const later = (root.recent ?? []).filter(({ generation }) => generation > base);
  const names = [...new Set(later.flatMap(({ changed }) => changed))].sort();
  const isComplete = later.length === root.generation - base;
  return isComplete ? names : [...names, 'and earlier changes that are no longer remembered'];
}
