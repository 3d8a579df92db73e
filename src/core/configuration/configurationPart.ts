import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { CorePart, EventOf, MessageHandler } from '../Handler.js';
import { refreshTargets, setVmList } from './adopt.js';
import { receiveObjects, receiveRoot } from './receiveRoot.js';
import { handleConfigurationAsked, handleHello } from './gossip.js';
import { followRoot, handleRootRead, handleServiceRead } from './watchRoot.js';

function handleConfigurationPushed(
  state: EntryState,
  event: EventOf<'configurationPushed'>,
  context: Context,
): Effect[] {
  return receiveRoot(state, event.root, event.services, undefined, context);
}

function handleVmList(state: EntryState, event: EventOf<'vmListRead'>): Effect[] {
  setVmList(state, event.vms);
  const changed = refreshTargets(state, state.configuration.services.keys());
  if (changed.length === 0) return [];
  return [
    {
      kind: 'raise',
      event: { kind: 'configurationAdopted', config: state.configuration.current, changed },
    },
  ];
}

const handleConfigurationTold: MessageHandler<'configurationTold'> = (
  state,
  from,
  message,
  context,
) => {
  const { root, services } = message;
  const peer = state.fleet.peers.get(from);
  if (root === undefined) return receiveObjects(state, services, context);
  if (peer !== undefined) peer.generation = Math.max(peer.generation, root.generation);
  return receiveRoot(state, root, services, from, context);
};

function handleStoreResolved(
  state: EntryState,
  event: EventOf<'storeResolved'>,
  context: Context,
): Effect[] {
  switch (event.purpose) {
    case 'rootRead':
    case 'rootWatch':
      return handleRootRead(state, event, context);
    case 'serviceRead':
      return handleServiceRead(state, event, context);
    default:
      return [];
  }
}

/** Keeps the configuration of this process and follows later ones. */
export const configurationPart: CorePart = {
  handlers: {
    configurationPushed: handleConfigurationPushed,
    storeResolved: handleStoreResolved,
    vmListRead: handleVmList,
  },
  messages: {
    configurationAsked: handleConfigurationAsked,
    configurationTold: handleConfigurationTold,
    hello: handleHello,
  },
  jobs: { watchConfiguration: followRoot },
};
