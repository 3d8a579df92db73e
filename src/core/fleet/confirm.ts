import {
  getConfirmedAgo,
  getKnownGeneration,
  noteConfirmed,
  noteGeneration,
} from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { ConfirmRound } from './FleetState.js';
import { getLongestLease } from './fence.js';
import { updateLeaseEnd } from './lease.js';
import { isMember, noteHeard, sendTo } from './peers.js';
import { getLeaseDuration } from './periods.js';
import { tellAssignment } from './tell.js';

/** Rounds whose answers still count. */
const MAX_ROUNDS = 4;

/** A new round is asked after this share of a lease. */
const ROUND_SHARE = 0.3;

/**
 * Members are asked for the configuration once the word of it is this old, as a share of the
 * freshness limit: later than a process reads the root itself, which is cheaper.
 */
const ASK_FRESHNESS_SHARE = 0.75;

/** Members are asked once this share of the lease is all that is left. */
const ASK_BELOW_SHARE = 0.55;

function isRoundNeeded(state: EntryState, now: number): boolean {
  const { assignment, leaseEnd, rounds } = state.fleet;
  if (assignment.epoch === 0) return false;
  const duration = getLeaseDuration(state.settings, assignment.members.length);
  const last = rounds.at(-1);
  if (last !== undefined && now - last.askedAt < duration * ROUND_SHARE) return false;
  const isHolder = isMember(state, state.settings.self.id);
  const isLeaseShort = isHolder && leaseEnd - now < duration * ASK_BELOW_SHARE;
  return (
    isLeaseShort || getConfirmedAgo(state, now) > state.settings.freshnessMs * ASK_FRESHNESS_SHARE
  );
}

/** Whether more than half of the members are in a set; half is not enough to go on. */
function isMajority(state: EntryState, heard: ReadonlySet<string>): boolean {
  return heard.size * 2 > state.fleet.assignment.members.length;
}

/**
 * Whether only this process itself bears itself out, as the sole member may. That asks nobody, so
 * it may go on but not begin again: a process that was paused would else believe, when it wakes,
 * that it is still the only member and has the latest configuration.
 */
function isAlone(state: EntryState, heard: ReadonlySet<string>): boolean {
  return heard.size === 1 && heard.has(state.settings.self.id);
}

function concludeRound(state: EntryState, round: ConfirmRound): void {
  const { assignment, lease, leaseEnd } = state.fleet;
  const { confirmedAt } = state.configuration;
  const { freshnessMs } = state.settings;
  const isHolder = isMember(state, state.settings.self.id);
  const mayHold = !isAlone(state, round.favourable) || round.askedAt < leaseEnd;
  const mayConfirm = !isAlone(state, round.current) || round.askedAt - confirmedAt < freshnessMs;
  if (isHolder && mayHold && isMajority(state, round.favourable)) {
    const duration = getLeaseDuration(state.settings, assignment.members.length);
    lease.confirmedEnd = Math.max(lease.confirmedEnd, round.askedAt + duration);
    updateLeaseEnd(state);
  }
  if (mayConfirm && isMajority(state, round.current)) {
    noteConfirmed(state, getKnownGeneration(state), round.askedAt);
  }
}

/**
 * While the store does not renew the lease, asks the members whether they know of a later epoch.
 * A majority that knows of none bears this process out for the length of a lease from the asking;
 * a take-over meanwhile needs half of the members to know of it, so one of these would have said so.
 * @param state - The process's state.
 * @param context - Time and chance.
 */
export function askMembers(state: EntryState, context: Context): Effect[] {
  const { assignment, rounds } = state.fleet;
  if (!isRoundNeeded(state, context.now)) return [];
  const { self } = state.settings;
  const own = isMember(state, self.id) ? [self.id] : [];
  const round: ConfirmRound = {
    round: state.fleet.nextRound,
    epoch: assignment.epoch,
    askedAt: context.now,
    favourable: new Set(own),
    current: new Set(own),
  };
  state.fleet.nextRound += 1;
  rounds.push(round);
  if (rounds.length > MAX_ROUNDS) rounds.shift();
  concludeRound(state, round);
  const message = { kind: 'confirmAsked', epoch: round.epoch, round: round.round } as const;
  return assignment.members
    .filter(({ id }) => id !== self.id && !state.fleet.ended.has(id))
    .map((member) => sendTo(member, message));
}

/** Answers with the latest epoch known here, and remembers whom it bore out. */
export const handleConfirmAsked: MessageHandler<'confirmAsked'> = (
  state,
  from,
  message,
  context,
) => {
  const { assignment, confirmed } = state.fleet;
  const peer = noteHeard(state, from, context.now);
  if (peer === undefined) return [];
  const effects: Effect[] = [];
  if (assignment.epoch <= message.epoch) confirmed.set(from, context.now);
  else effects.push(...tellAssignment(state, peer.member, context.now));
  const oldest = context.now - getLongestLease(state);
  for (const [id, at] of confirmed) if (at < oldest) confirmed.delete(id);
  const answer = {
    kind: 'confirmAnswered',
    knownEpoch: assignment.epoch,
    round: message.round,
    generation: state.configuration.current.generation,
    knownGeneration: getKnownGeneration(state),
  } as const;
  effects.push(sendTo(peer.member, answer));
  return effects;
};

/** Counts a member's answer. */
export const handleConfirmAnswered: MessageHandler<'confirmAnswered'> = (
  state,
  from,
  message,
  context,
) => {
  const peer = noteHeard(state, from, context.now);
  if (peer === undefined) return [];
  const round = state.fleet.rounds.find((asked) => asked.round === message.round);
  if (round === undefined || !isMember(state, from)) return [];
  if (message.knownEpoch <= round.epoch) round.favourable.add(from);
  // A member that waits for descriptions of a later generation knows that this one is outdated.
  if (message.knownGeneration <= state.configuration.current.generation) round.current.add(from);
  concludeRound(state, round);
  return noteGeneration(state, from, message.generation, context);
};
