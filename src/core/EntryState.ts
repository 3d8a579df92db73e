import type { ConfigurationState } from './configuration/index.js';
import { createConfigurationState } from './configuration/index.js';
import type { FleetState } from './fleet/index.js';
import { createFleetState } from './fleet/index.js';
import type { Guards } from './guards.js';
import { DEFAULT_GUARDS } from './guards.js';
import type { KeysState } from './keys/index.js';
import { createKeysState } from './keys/index.js';
import type { ProtectionState } from './protection/index.js';
import { createProtectionState } from './protection/index.js';
import type { RequestsState } from './requests/index.js';
import { createRequestsState } from './requests/index.js';
import type { CoreSettings } from './settings.js';
import type { StoreCallsState } from './storeCalls/index.js';
import { createStoreCallsState } from './storeCalls/index.js';
import type { TargetsState } from './targets/index.js';
import { createTargetsState } from './targets/index.js';

/**
 * The whole state of an entry process. The reducer updates it in place, since copying it for each
 * request would cost more than handling the request. Each part is changed only by its own folder.
 */
export interface EntryState {
  readonly settings: CoreSettings;
  /** `DEFAULT_GUARDS`, except in tests that show the effect of a missing guard. */
  readonly guards: Guards;
  readonly configuration: ConfigurationState;
  readonly fleet: FleetState;
  readonly requests: RequestsState;
  readonly targets: TargetsState;
  readonly protection: ProtectionState;
  readonly keys: KeysState;
  readonly storeCalls: StoreCallsState;
}

/**
 * Creates the state of a process that has just started and knows no other member.
 * @param settings - The process's validated settings.
 * @param now - Monotonic milliseconds of this process.
 * @param guards - Replaced in tests only.
 * @example
 * const state = createEntryState(settings, performance.now());
 */
export function createEntryState(
  settings: CoreSettings,
  now: number,
  guards: Guards = DEFAULT_GUARDS,
): EntryState {
  return {
    settings,
    guards,
    configuration: createConfigurationState(now),
    fleet: createFleetState(settings, now),
    requests: createRequestsState(),
    targets: createTargetsState(),
    protection: createProtectionState(),
    keys: createKeysState(),
    storeCalls: createStoreCallsState(settings, now),
  };
}
