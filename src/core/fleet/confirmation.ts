import {
  getConfirmationAgeMs,
  getKnownGeneration,
  recordConfirmation,
  recordPeerGeneration,
} from '../configuration/index.js';
import type { Context } from '../Context.js';
import type { Effect } from '../effects.js';
import type { EntryState } from '../EntryState.js';
import type { MessageHandler } from '../Handler.js';
import type { ConfirmationRound } from './FleetState.js';
import { getMaxLeaseDuration } from './fence.js';
import { updateLeaseEnd } from './lease.js';
import { isMember, recordHeard, sendTo } from './peers.js';
import { getLeaseDuration } from './periods.js';
import { sendAssignment } from './assignmentMessages.js';

/** Most recent rounds whose answers are still accepted. */
const MAX_ROUNDS = 4;

/** Minimum time between two rounds, as a share of the lease duration. */
const ROUND_INTERVAL_SHARE = 0.3;

/**
 * Age of the last configuration confirmation above which members are asked, as a share of the
 * freshness limit. It is above the age at which a process reads the root itself, which is cheaper.
 */
const CONFIRM_FRESHNESS_SHARE = 0.75;

/** Members are asked once less than this share of the lease duration remains. */
const CONFIRM_LEASE_SHARE = 0.55;

function isRoundNeeded(state: EntryState, now: number): boolean {
  const { assignment, leaseEnd, confirmationRounds } = state.fleet;
  if (assignment.epoch === 0) return false;
  const duration = getLeaseDuration(state.settings, assignment.members.length);
  const last = confirmationRounds.at(-1);
  if (last !== undefined && now - last.sentAt < duration * ROUND_INTERVAL_SHARE) return false;
  const isSelfMember = isMember(state, state.settings.self.id);
  const isLeaseEnding = isSelfMember && leaseEnd - now < duration * CONFIRM_LEASE_SHARE;
  return (
    isLeaseEnding ||
    getConfirmationAgeMs(state, now) > state.settings.freshnessMs * CONFIRM_FRESHNESS_SHARE
  );
}

/** Whether a set holds more than half of the members. Exactly half is not enough. */
function isMajority(state: EntryState, acks: ReadonlySet<string>): boolean {
  return acks.size * 2 > state.fleet.assignment.members.length;
}

/**
 * Whether this process is the only one that confirmed, as is enough for a sole member. Since no
 * other process was asked, that may extend a lease or a confirmation that still holds, but not
 * restore one that has expired: a process that resumes from a pause would otherwise assume that it
 * is still the sole member and has the latest configuration.
 */
function isOnlySelf(state: EntryState, acks: ReadonlySet<string>): boolean {
  return acks.size === 1 && acks.has(state.settings.self.id);
}

function evaluateRound(state: EntryState, round: ConfirmationRound): void {
  const { assignment, lease, leaseEnd } = state.fleet;
  const { confirmedAt } = state.configuration;
  const { freshnessMs } = state.settings;
  const isSelfMember = isMember(state, state.settings.self.id);
  const canExtendLease = !isOnlySelf(state, round.epochAcks) || round.sentAt < leaseEnd;
  const canConfirmConfiguration =
    !isOnlySelf(state, round.configAcks) || round.sentAt - confirmedAt < freshnessMs;
  if (isSelfMember && canExtendLease && isMajority(state, round.epochAcks)) {
    const duration = getLeaseDuration(state.settings, assignment.members.length);
    lease.majorityExpiry = Math.max(lease.majorityExpiry, round.sentAt + duration);
    updateLeaseEnd(state);
  }
  if (canConfirmConfiguration && isMajority(state, round.configAcks)) {
    recordConfirmation(state, getKnownGeneration(state), round.sentAt);
  }
}

/**
 * Asks the members whether they know of a later epoch or configuration, if the store has not
 * renewed the lease or confirmed the configuration in time. If a majority knows of no later epoch,
 * the lease is valid for its duration from the time of the request. A take-over requires that at
 * least half of the members know the later epoch, so the two groups overlap and one of the members
 * would have reported it.
 * @param state - The process's state.
 * @param context - Current time and random source.
 */
export function requestConfirmations(state: EntryState, context: Context): Effect[] {
  const { assignment, confirmationRounds } = state.fleet;
  if (!isRoundNeeded(state, context.now)) return [];
  const { self } = state.settings;
  const own = isMember(state, self.id) ? [self.id] : [];
  const round: ConfirmationRound = {
    round: state.fleet.nextRound,
    epoch: assignment.epoch,
    sentAt: context.now,
    epochAcks: new Set(own),
    configAcks: new Set(own),
  };
  state.fleet.nextRound += 1;
  confirmationRounds.push(round);
  if (confirmationRounds.length > MAX_ROUNDS) confirmationRounds.shift();
  evaluateRound(state, round);
  const message = { kind: 'confirmAsked', epoch: round.epoch, round: round.round } as const;
  return assignment.members
    .filter(({ id }) => id !== self.id && !state.fleet.ended.has(id))
    .map((member) => sendTo(member, message));
}

/** Answers with the latest known epoch; records a confirmation if the sender's is not earlier. */
export const handleConfirmAsked: MessageHandler<'confirmAsked'> = (
  state,
  from,
  message,
  context,
) => {
  const { assignment, givenConfirmations } = state.fleet;
  const peer = recordHeard(state, from, context.now);
  if (peer === undefined) return [];
  const effects: Effect[] = [];
  if (assignment.epoch <= message.epoch) givenConfirmations.set(from, context.now);
  else effects.push(...sendAssignment(state, peer.member, context.now));
  const oldest = context.now - getMaxLeaseDuration(state);
  for (const [id, at] of givenConfirmations) if (at < oldest) givenConfirmations.delete(id);
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

/** Adds a member's answer to its round. */
export const handleConfirmAnswered: MessageHandler<'confirmAnswered'> = (
  state,
  from,
  message,
  context,
) => {
  const peer = recordHeard(state, from, context.now);
  if (peer === undefined) return [];
  const round = state.fleet.confirmationRounds.find((asked) => asked.round === message.round);
  if (round === undefined || !isMember(state, from)) return [];
  if (message.knownEpoch <= round.epoch) round.epochAcks.add(from);
  // A member that still fetches objects of a later generation already knows this one is outdated.
  if (message.knownGeneration <= state.configuration.current.generation) round.configAcks.add(from);
  evaluateRound(state, round);
  return recordPeerGeneration(state, from, message.generation, context);
};
