import { configurationPart } from './configuration/index.js';
import type { Context } from './Context.js';
import type { Effect } from './effects.js';
import type { EntryState } from './EntryState.js';
import type { CoreEvent } from './events.js';
import { fleetPart } from './fleet/index.js';
import type { CorePart, Handler, MessageHandler } from './Handler.js';
import { keysPart } from './keys/index.js';
import { protectionPart } from './protection/index.js';
import { requestsPart } from './requests/index.js';
import { storeCallsPart } from './storeCalls/index.js';
import { targetsPart } from './targets/index.js';

/** Order matters: a later part reads state that an earlier part has updated for the same event. */
const PARTS: readonly CorePart[] = [
  storeCallsPart,
  configurationPart,
  fleetPart,
  targetsPart,
  protectionPart,
  keysPart,
  requestsPart,
];

type AnyHandler = Handler<CoreEvent['kind']>;
type AnyMessageHandler = MessageHandler<never>;

/** Event handlers by kind, jobs by name and message handlers by kind, collected at load time. */
const HANDLERS = new Map<string, AnyHandler[]>();
const JOBS = new Map<string, CorePart['jobs'][keyof CorePart['jobs']][]>();
const MESSAGES = new Map<string, AnyMessageHandler[]>();

function registerHandlers<T>(table: Map<string, T[]>, entries: object): void {
  for (const [name, handler] of Object.entries(entries)) {
    table.set(name, [...(table.get(name) ?? []), handler as T]);
  }
}

for (const part of PARTS) {
  registerHandlers(HANDLERS, part.handlers);
  registerHandlers(JOBS, part.jobs);
  registerHandlers(MESSAGES, part.messages);
}

function handleEvent(state: EntryState, event: CoreEvent, context: Context): Effect[] {
  if (event.kind === 'jobDue') {
    return (JOBS.get(event.job) ?? []).flatMap((job) => job?.(state, context) ?? []);
  }
  const effects: Effect[] = [];
  if (event.kind === 'peerMessageArrived') {
    for (const handler of MESSAGES.get(event.message.kind) ?? []) {
      effects.push(...handler(state, event.from, event.message as never, context));
    }
  }
  for (const handler of HANDLERS.get(event.kind) ?? []) {
    effects.push(...handler(state, event, context));
  }
  return effects;
}

/**
 * Handles one event: updates the state in place and returns the effects to carry out, in order.
 * @param state - The process's state; owned by the caller and changed here.
 * @param event - The event.
 * @param context - Current time and random source.
 * @example
 * const effects = reduce(state, { kind: 'stopAsked' }, { now: performance.now(), random });
 */
export function reduce(state: EntryState, event: CoreEvent, context: Context): Effect[] {
  const out: Effect[] = [];
  const pending: CoreEvent[] = [event];
  for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
    for (const effect of handleEvent(state, next, context)) {
      if (effect.kind === 'raise') pending.push(effect.event);
      else out.push(effect);
    }
  }
  return out;
}
