import type { Effect } from '../core/index.js';
import { canSendTo } from '../core/index.js';
import type { TargetListener, TargetModel, TargetReport } from '../standIns/models/index.js';
import { answerAttempt, endAttempt } from './attempts.js';
import type { LiveAttempt } from './live.js';
import type { VirtualFleet } from './VirtualFleet.js';
import type { VirtualVm } from './VirtualVm.js';

type SendAttempt = Extract<Effect, { kind: 'sendAttempt' }>;
type Probe = Extract<Effect, { kind: 'probe' }>;

const CONNECT_TIMEOUT_MS = 500;

/** A sending on its way to a target. */
interface TargetSend {
  readonly fleet: VirtualFleet;
  readonly vm: VirtualVm;
  readonly target: TargetModel;
  readonly attempt: LiveAttempt;
  readonly newConnection: boolean;
  readonly deadlineAt: number;
}

/** Takes an idle connection if one leads to the target's present run. */
function takeConnection(fleet: VirtualFleet, vm: VirtualVm, target: TargetModel): boolean {
  const { bootId } = target;
  const { id } = target.options;
  let idle = vm.idleConnections.get(id);
  if (idle?.bootId !== bootId) {
    const gone = idle?.count ?? 0;
    idle = { count: 0, bootId };
    vm.idleConnections.set(id, idle);
    for (let i = 0; i < gone; i++) {
      fleet.clock.after(0, () =>
        vm.dispatch({ kind: 'connectionChanged', target: id, change: 'closed' }),
      );
    }
  }
  if (idle.count === 0) return false;
  idle.count -= 1;
  return true;
}

/** Hears what the target makes of a request and carries it back over the network. */
function listenTo(send: TargetSend): TargetListener {
  const { fleet, vm, target, attempt } = send;
  const { id } = target.options;
  let answer: { status: number; report: TargetReport } | undefined;
  return {
    answered: (status, report) => {
      answer = { status, report };
    },
    ended: (end) => {
      if (fleet.network.isCut(id, vm.options.machine)) return;
      fleet.clock.after(fleet.network.hop(vm.options.machine, id), () =>
        vm.enter(() => {
          if (attempt.ended !== undefined) return;
          if (answer !== undefined) {
            const { uid } = attempt.request.asked;
            const head = { kind: 'relayed', status: answer.status, ofUid: uid } as const;
            answerAttempt(vm, attempt, head, { load: answer.report });
          }
          // The bytes had left: that the target was down when they came can't be told apart.
          endAttempt(vm, attempt, end === 'notSent' ? 'reset' : end);
          fleet.step('afterAnswer', vm, 'attempt.target');
        }),
      );
    },
  };
}

/** Asked just before the first byte leaves, as the entry process does: there may have been a pause. */
function isInTime({ vm, target, deadlineAt }: TargetSend): boolean {
  const now = vm.now();
  return now < deadlineAt && canSendTo(vm.state, target.options.id, now);
}

/** The request's bytes reach the target after a hop. */
function deliver(send: TargetSend): void {
  const { fleet, vm, target, attempt } = send;
  const { asked } = attempt.request;
  const { id } = target.options;
  fleet.observe({ kind: 'sentToTarget', vm: vm.id, target: id, isProbe: false });
  if (fleet.network.isCut(vm.options.machine, id)) return;
  // The remaining time is written into the request as it leaves.
  const remainingMs = send.deadlineAt - vm.now();
  fleet.clock.after(fleet.network.hop(vm.options.machine, id), () => {
    const cancel = target.acceptRequest(
      {
        uid: asked.uid,
        sender: vm.id,
        fingerprint: asked.fingerprint,
        key: asked.key,
        isProbe: false,
        newConnection: send.newConnection,
        serviceMs: asked.serviceMs,
        remainingMs,
      },
      listenTo(send),
    );
    const cancelOverNetwork = () => {
      if (vm.isMachineDown || fleet.network.isCut(vm.options.machine, id)) return;
      fleet.clock.after(fleet.network.hop(vm.options.machine, id), cancel);
    };
    // The sender may have given up while the request was on its way.
    if (attempt.ended !== undefined) cancelOverNetwork();
    else attempt.cancelRemote = cancelOverNetwork;
    fleet.step('afterEffect', vm, 'attempt.target');
  });
}

function connectThenDeliver(send: TargetSend): void {
  const { fleet, vm, target, attempt } = send;
  const { id } = target.options;
  if (fleet.network.isCut(vm.options.machine, id)) {
    fleet.clock.after(CONNECT_TIMEOUT_MS, () => vm.enter(() => endAttempt(vm, attempt, 'notSent')));
    return;
  }
  fleet.clock.after(2 * fleet.network.hop(vm.options.machine, id), () =>
    vm.enter(() => {
      if (attempt.ended !== undefined) return;
      if (target.isDown || !isInTime(send)) {
        endAttempt(vm, attempt, 'notSent');
        return;
      }
      attempt.connectionTo = id;
      vm.dispatch({ kind: 'connectionChanged', target: id, change: 'opened' });
      // The core may have cancelled as it heard of the connection.
      if (attempt.ended === undefined) deliver(send);
    }),
  );
}

/**
 * Sends a request to a target.
 * @param fleet - The fleet.
 * @param vm - The process that sends.
 * @param effect - What the core asked for.
 * @param attempt - The sending.
 */
export function sendToTarget(
  fleet: VirtualFleet,
  vm: VirtualVm,
  effect: SendAttempt,
  attempt: LiveAttempt,
): void {
  if (effect.to.kind !== 'target') return;
  const target = fleet.targets.get(effect.to.target);
  if (target === undefined) {
    fleet.clock.after(0, () => vm.enter(() => endAttempt(vm, attempt, 'notSent')));
    return;
  }
  const newConnection = !takeConnection(fleet, vm, target);
  const send = { fleet, vm, target, attempt, newConnection, deadlineAt: effect.deadlineAt };
  if (newConnection) {
    connectThenDeliver(send);
    return;
  }
  attempt.connectionTo = effect.to.target;
  if (isInTime(send)) deliver(send);
  else fleet.clock.after(0, () => vm.enter(() => endAttempt(vm, attempt, 'notSent')));
}

/**
 * Probes a target.
 * @param fleet - The fleet.
 * @param vm - The process that probes.
 * @param effect - What the core asked for.
 */
export function sendProbe(fleet: VirtualFleet, vm: VirtualVm, effect: Probe): void {
  const { clock, network } = fleet;
  const target = fleet.targets.get(effect.target);
  const id = effect.target;
  let isOver = false;
  const end = (result: 'healthy' | 'unhealthy' | 'notSent' | 'reset' | 'timedOut') =>
    vm.enter(() => {
      if (isOver) return;
      isOver = true;
      vm.dispatch({ kind: 'probeEnded', target: id, end: result, load: target?.getReport() });
      fleet.step('afterAnswer', vm, 'probe');
    });
  if (!canSendTo(vm.state, id, vm.now())) {
    clock.after(0, () => end('notSent'));
    return;
  }
  clock.after(effect.timeoutMs, () => end('timedOut'));
  fleet.observe({ kind: 'sentToTarget', vm: vm.id, target: id, isProbe: true });
  if (target === undefined || network.isCut(vm.options.machine, id)) return;
  clock.after(network.hop(vm.options.machine, id), () => {
    const listener: TargetListener = {
      answered: () => {},
      ended: (ended) => {
        const result = ended === 'complete' || ended === 'cut' ? 'healthy' : ended;
        if (!network.isCut(id, vm.options.machine)) {
          clock.after(network.hop(vm.options.machine, id), () => end(result));
        }
      },
    };
    target.acceptRequest(
      {
        uid: `probe of ${id}`,
        sender: vm.id,
        fingerprint: 'probe',
        isProbe: true,
        newConnection: false,
        remainingMs: effect.timeoutMs,
      },
      listener,
    );
    fleet.step('afterEffect', vm, 'probe');
  });
}
