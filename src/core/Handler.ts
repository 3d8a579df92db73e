import type { Context } from './Context.js';
import type { Effect } from './effects.js';
import type { EntryState } from './EntryState.js';
import type { CoreEvent, PeriodicJob } from './events.js';
import type { PeerMessage } from './model/index.js';

/** The event of one kind. */
export type EventOf<K extends CoreEvent['kind']> = Extract<CoreEvent, { kind: K }>;

/** Handles one kind of event: updates its own part of the state and returns effects as data. */
export type Handler<K extends CoreEvent['kind']> = (
  state: EntryState,
  event: EventOf<K>,
  context: Context,
) => Effect[];

/** Event handlers by kind. Several parts of the core may handle the same kind. */
export type Handlers = { readonly [K in CoreEvent['kind']]?: Handler<K> };

/** The peer message of one kind. */
export type MessageOf<K extends PeerMessage['kind']> = Extract<PeerMessage, { kind: K }>;

/** Handles one kind of peer message. */
export type MessageHandler<K extends PeerMessage['kind']> = (
  state: EntryState,
  from: string,
  message: MessageOf<K>,
  context: Context,
) => Effect[];

/** Handlers of peer messages by kind. */
export type MessageHandlers = { readonly [K in PeerMessage['kind']]?: MessageHandler<K> };

/** Runs one periodic job. */
export type JobHandler = (state: EntryState, context: Context) => Effect[];

/** Periodic jobs by name. */
export type JobHandlers = Readonly<Partial<Record<PeriodicJob, JobHandler>>>;

/** The handlers and jobs that one folder of the core adds to the reducer. */
export interface CorePart {
  readonly handlers: Handlers;
  readonly messages: MessageHandlers;
  readonly jobs: JobHandlers;
}
