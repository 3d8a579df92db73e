import type { Effect } from '../core/index.js';
import { answerAttempt, endAttempt } from './attempts.js';
import type { AnswerPort, LiveAttempt } from './live.js';
import type { VirtualFleet } from './VirtualFleet.js';
import type { VirtualVm } from './VirtualVm.js';

type SendAttempt = Extract<Effect, { kind: 'sendAttempt' }>;
type SendPeer = Extract<Effect, { kind: 'sendPeer' }>;

/** How long a connection between entry VMs may be silent before it is given up. */
const KEEPALIVE_MS = 1_000;

/** Way back from the peer to the process that forwarded. */
function makePort(
  fleet: VirtualFleet,
  origin: VirtualVm,
  peer: VirtualVm,
  attempt: LiveAttempt,
): AnswerPort {
  const { clock, network } = fleet;
  let lastAt = 0;
  const back = (action: () => void) => {
    if (network.isCut(peer.options.machine, origin.options.machine)) return;
    const hopMs = network.hop(peer.options.machine, origin.options.machine);
    // Head and end of an answer come over one connection, which keeps them in order.
    lastAt = Math.max(lastAt, clock.now() + hopMs);
    clock.after(lastAt - clock.now(), () =>
      origin.enter(() => {
        if (attempt.ended === undefined) action();
      }),
    );
  };
  return {
    answered: (head, spare) => back(() => answerAttempt(origin, attempt, head, { spare })),
    ended: (end) =>
      back(() => {
        endAttempt(origin, attempt, end);
        fleet.step('afterAnswer', origin, 'attempt.peer');
      }),
    lost: (silent) => {
      const lose = () => endAttempt(origin, attempt, attempt.head === undefined ? 'reset' : 'cut');
      if (silent) clock.after(KEEPALIVE_MS, () => origin.enter(lose));
      else back(lose);
    },
  };
}

/** The forwarded request reaches the peer. */
function arriveAtPeer(
  fleet: VirtualFleet,
  origin: VirtualVm,
  peer: VirtualVm,
  attempt: LiveAttempt,
  remainingMs: number,
): void {
  if (peer.life === 'ended' || peer.isClosed) {
    // The connection was there when the bytes left, so the origin can't tell that nothing ran.
    const end = () => endAttempt(origin, attempt, 'reset');
    const hopMs = fleet.network.hop(peer.options.machine, origin.options.machine);
    fleet.clock.after(hopMs, () => origin.enter(end));
    return;
  }
  const live = fleet.arrive(peer, attempt.request.asked, makePort(fleet, origin, peer, attempt), {
    forwardedBy: origin.id,
    remainingMs,
  });
  const cancel = () => {
    if (fleet.network.isCut(origin.options.machine, peer.options.machine)) return;
    fleet.clock.after(fleet.network.hop(origin.options.machine, peer.options.machine), () => {
      if (peer.requests.has(live.id)) fleet.cancelRequest(peer, live);
    });
  };
  if (attempt.ended !== undefined) cancel();
  else attempt.cancelRemote = cancel;
  fleet.step('afterEffect', origin, 'attempt.peer');
}

/**
 * Forwards a request to a peer.
 * @param fleet - The fleet.
 * @param origin - The process that forwards.
 * @param effect - What the core asked for.
 * @param attempt - The sending.
 */
export function sendToPeer(
  fleet: VirtualFleet,
  origin: VirtualVm,
  effect: SendAttempt,
  attempt: LiveAttempt,
): void {
  if (effect.to.kind !== 'peer') return;
  const { clock, network } = fleet;
  const peer = fleet.vms.get(effect.to.peer);
  const endAfter = (delayMs: number, end: 'notSent' | 'reset') =>
    clock.after(delayMs, () => origin.enter(() => endAttempt(origin, attempt, end)));
  if (peer === undefined || (peer.life === 'ended' && !peer.isMachineDown)) {
    endAfter(2 * network.options.hopMs, 'notSent');
    return;
  }
  const cutMs = network.getCutMs(origin.options.machine, peer.options.machine);
  if (cutMs > KEEPALIVE_MS) {
    endAfter(0, 'notSent');
    return;
  }
  if (cutMs > 0 || network.isCut(origin.options.machine, peer.options.machine)) {
    endAfter(KEEPALIVE_MS, 'reset');
    return;
  }
  if (peer.isMachineDown) {
    endAfter(KEEPALIVE_MS, 'reset');
    return;
  }
  const remainingMs = effect.deadlineAt - origin.now();
  const hopMs = network.hop(origin.options.machine, peer.options.machine);
  clock.after(hopMs, () => arriveAtPeer(fleet, origin, peer, attempt, remainingMs));
}

/**
 * Sends a message to a peer.
 * @param fleet - The fleet.
 * @param vm - The process that sends.
 * @param effect - What the core asked for.
 */
export function sendPeerMessage(fleet: VirtualFleet, vm: VirtualVm, effect: SendPeer): void {
  const { clock, network } = fleet;
  const { machine } = vm.options;
  const peer = fleet.vms.get(effect.peer);
  const step = `peer.${effect.message.kind}`;
  const fail = (delayMs: number, reason: 'refused' | 'unreachable') =>
    clock.after(delayMs, () =>
      vm.enter(() => vm.dispatch({ kind: 'peerSendFailed', peer: effect.peer, reason })),
    );
  if (peer === undefined) {
    fail(2 * network.options.hopMs, 'refused');
    return;
  }
  if (peer.isMachineDown || network.isCut(machine, peer.options.machine)) {
    fail(KEEPALIVE_MS, 'unreachable');
    return;
  }
  if (network.drops()) return;
  const message = fleet.options.copiesMessages
    ? (JSON.parse(JSON.stringify(effect.message)) as typeof effect.message)
    : effect.message;
  const hopMs = network.hop(machine, peer.options.machine);
  clock.after(hopMs, () => {
    if (peer.life === 'ended') {
      if (peer.isMachineDown) fail(KEEPALIVE_MS, 'unreachable');
      else fail(hopMs, 'refused');
      return;
    }
    peer.enter(() => {
      peer.dispatch({ kind: 'peerMessageArrived', from: vm.id, message });
      fleet.step('afterAnswer', peer, step);
    });
    fleet.step('afterEffect', vm, step);
  });
}
