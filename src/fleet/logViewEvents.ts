import type { EventLog } from '../logging/EventLog.js';
import type { FleetView } from './FleetView.js';
import { PARTIAL_POSITION } from './sectionChanges.js';

/** Names that one line lists at most. */
const MAX_LOGGED_NAMES = 20;

/**
 * Logs restores of the store, what becomes of the objects that it lacks, and changes that are
 * ignored because a later position is known.
 * @param view - Local copy of the store.
 * @param log - Receives the lines.
 */
export function logViewEvents(view: FleetView, log: EventLog): void {
  view.onOutdated(({ section, position, isFromPeer = false, items }, known) => {
    if (position === PARTIAL_POSITION || items.length === 0) return;
    const { epoch, revision } = position;
    const fields = { section, epoch, revision, knownEpoch: known.epoch, known: known.revision };
    log.write('store.outdated', { ...fields, isFromPeer, items: items.length });
  });
  view.onRestore(({ section, before, position, missing }) => {
    const { epoch, revision } = position;
    const fields = { section, before: before.epoch, epoch, revision, known: before.revision };
    const names = missing.slice(0, MAX_LOGGED_NAMES);
    log.write('store.sectionRestored', { ...fields, missing: missing.length, names });
  });
  view.onMissingResolved(({ section, removed }) => {
    const names = removed.slice(0, MAX_LOGGED_NAMES);
    log.write('store.missingRemoved', { section, removed: removed.length, names });
  });
}
