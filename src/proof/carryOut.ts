import type { Effect, RequestId, StoreOp } from '../core/index.js';
import type { StoreReply } from '../standIns/models/index.js';
import { endAttempt, finishRequest, relay } from './attempts.js';
import type { AnswerHead, LiveAttempt } from './live.js';
import { sendPeerMessage, sendToPeer } from './peerSends.js';
import { sendProbe, sendToTarget } from './targetSends.js';
import type { VirtualFleet } from './VirtualFleet.js';
import type { VirtualVm } from './VirtualVm.js';

type EffectOf<K extends Effect['kind']> = Extract<Effect, { kind: K }>;
type CarryOut<K extends Effect['kind']> = (
  fleet: VirtualFleet,
  vm: VirtualVm,
  effect: EffectOf<K>,
) => void;

const STORE_TIMEOUT_MS = 1_000;

/** Name of a store call as a step of a protocol, such as `store.put fleet/assignment`. */
function getStoreStep(op: StoreOp): string {
  const path = op.op === 'list' ? op.prefix : op.key;
  const folder = path.startsWith('keys/') ? 'keys' : path.split('/').slice(0, 2).join('/');
  return `store.${op.op} ${folder}`;
}

/**
 * Names an effect as a step of a protocol; undefined if it reaches nothing outside the process.
 * @param effect - What the core asked for.
 */
export function getStep(effect: Effect): string | undefined {
  if (effect.kind === 'sendAttempt') return `attempt.${effect.to.kind}`;
  if (effect.kind === 'sendPeer') return `peer.${effect.message.kind}`;
  if (effect.kind === 'callStore') return getStoreStep(effect.op);
  if (effect.kind === 'probe') return 'probe';
  if (effect.kind === 'relayAnswer') return 'relay';
  return undefined;
}

function sendAttempt(fleet: VirtualFleet, vm: VirtualVm, effect: EffectOf<'sendAttempt'>): void {
  const request = vm.requests.get(effect.request);
  if (request === undefined) {
    // The request is over for its caller; the core still hears of each sending's end.
    const end = () =>
      vm.dispatch({
        kind: 'attemptEnded',
        attempt: effect.attempt,
        end: 'notSent',
        bodyReplayable: true,
      });
    fleet.clock.after(0, end);
    return;
  }
  const attempt: LiveAttempt = { id: effect.attempt, request };
  vm.attempts.set(effect.attempt, attempt);
  request.attempts.set(effect.attempt, attempt);
  const remainingMs = (effect.deadlineAt - vm.now()) / vm.options.clockRate;
  if (remainingMs <= 0) {
    fleet.clock.after(0, () => vm.enter(() => endAttempt(vm, attempt, 'notSent')));
    return;
  }
  if (Number.isFinite(remainingMs)) {
    attempt.cancelDeadline = fleet.clock.after(remainingMs, () =>
      vm.enter(() => endAttempt(vm, attempt, 'timedOut')),
    );
  }
  if (effect.to.kind === 'target') sendToTarget(fleet, vm, effect, attempt);
  else sendToPeer(fleet, vm, effect, attempt);
}

/** Gives a request the one answer it gets; a second one is seen and not sent. */
function answer(fleet: VirtualFleet, vm: VirtualVm, id: RequestId, head: AnswerHead): void {
  const live = vm.requests.get(id);
  if (live === undefined || live.relayed !== undefined) {
    if (live !== undefined) {
      fleet.observe({ kind: 'answeredTwice', vm: vm.id, uid: live.asked.uid });
    }
    return;
  }
  live.port.answered(head, fleet.readSpare(vm, live.asked.service));
  finishRequest(vm, live, 'complete');
}

function relayAnswer(fleet: VirtualFleet, vm: VirtualVm, effect: EffectOf<'relayAnswer'>): void {
  const live = vm.requests.get(effect.request);
  const attempt = live?.attempts.get(effect.attempt);
  if (live === undefined || attempt === undefined) return;
  if (live.relayed !== undefined) {
    fleet.observe({ kind: 'answeredTwice', vm: vm.id, uid: live.asked.uid });
    return;
  }
  relay(vm, live, attempt, fleet.readSpare(vm, live.asked.service));
}

function callStore(fleet: VirtualFleet, vm: VirtualVm, effect: EffectOf<'callStore'>): void {
  const { clock, network, store } = fleet;
  const { machine } = vm.options;
  const { op, call } = effect;
  const step = getStoreStep(op);
  let isOver = false;
  const answered = (result: Exclude<StoreReply, 'lost'>) =>
    vm.enter(() => {
      if (isOver) return;
      isOver = true;
      vm.dispatch({ kind: 'storeAnswered', call, result });
      fleet.step('afterAnswer', vm, step);
    });
  const timeoutMs = STORE_TIMEOUT_MS + (op.op === 'watch' ? op.waitMs : 0);
  clock.after(timeoutMs, () => answered({ kind: 'unknown' }));
  if (network.isCut(machine, 'store')) return;
  clock.after(network.hop(machine, 'store'), () => {
    store.call(op, (result) => {
      if (result === 'lost' || network.isCut('store', machine)) return;
      clock.after(network.hop(machine, 'store'), () => answered(result));
    });
    fleet.step('afterEffect', vm, step);
  });
}

const HANDLERS: { readonly [K in Effect['kind']]: CarryOut<K> } = {
  sendAttempt,
  cancelAttempt: (fleet, vm, { attempt }) => {
    fleet.clock.after(0, () =>
      vm.enter(() => {
        const live = vm.attempts.get(attempt);
        if (live !== undefined) endAttempt(vm, live, 'cancelled');
      }),
    );
  },
  relayAnswer,
  answerRequest: (fleet, vm, { request, answer: own }) =>
    answer(fleet, vm, request, {
      kind: 'own',
      status: own.status,
      outcome: own.outcome,
      code: own.code,
      retryAfterMs: own.retryAfterMs,
    }),
  replayAnswer: (fleet, vm, effect) =>
    answer(fleet, vm, effect.request, { kind: 'replayed', answer: effect.answer }),
  abortRequest: (_fleet, vm, { request }) => {
    const live = vm.requests.get(request);
    if (live !== undefined) finishRequest(vm, live, 'cut');
  },
  probe: sendProbe,
  callStore,
  sendPeer: sendPeerMessage,
  closeConnections: (fleet, vm, { target }) => {
    const idle = vm.idleConnections.get(target)?.count ?? 0;
    vm.idleConnections.delete(target);
    for (let i = 0; i < idle; i++) {
      fleet.clock.after(0, () =>
        vm.dispatch({ kind: 'connectionChanged', target, change: 'closed' }),
      );
    }
  },
  log: (fleet, vm, effect) => fleet.options.onLog?.(vm.id, effect),
  count: () => {},
  exit: (fleet, vm) => fleet.exit(vm),
  raise: () => {},
};

/**
 * Carries out one effect as the adapters of the real process do.
 * @param fleet - The fleet.
 * @param vm - The process whose core asked for it.
 * @param effect - What it asked for.
 */
export function carryOut(fleet: VirtualFleet, vm: VirtualVm, effect: Effect): void {
  const handler = HANDLERS[effect.kind] as unknown as CarryOut<Effect['kind']>;
  handler(fleet, vm, effect);
}
