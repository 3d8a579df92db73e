import type { EventLog } from '../logging/EventLog.js';
import type { ObjectStoreHandlers } from '../platform/index.js';

/** Longest name or text of the store that is logged, in characters. */
const MAX_LOGGED_LENGTH = 200;

/**
 * Creates handlers that log what the answers of the store show besides their content.
 * @param log - Receives the lines.
 */
export function createStoreHandlers(log: EventLog): ObjectStoreHandlers {
  return {
    onUnreadable: (section, name, reason) =>
      log.write('store.unreadable', {
        section,
        name: name.slice(0, MAX_LOGGED_LENGTH),
        reason,
      }),
    onEpochChange: (before, epoch) => log.write('store.epochChanged', { before, epoch }),
    onEpochUnreadable: (text) =>
      log.write('store.epochUnreadable', { text: text.slice(0, MAX_LOGGED_LENGTH) }),
  };
}
