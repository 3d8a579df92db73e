import type { CancelTimer } from '../timing/index.js';
import type { AnswerHead, AnswerPort } from './live.js';
import type { CallerAnswer, CallerRequest } from './observations.js';
import type { VirtualFleet } from './VirtualFleet.js';
import type { VirtualVm } from './VirtualVm.js';

const DEFAULT_PATIENCE_MS = 10_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Hears what a caller saw in the end. */
export type OnAnswer = (answer: CallerAnswer) => void;

function readHead(head: AnswerHead): CallerAnswer {
  if (head.kind === 'relayed') {
    return { kind: 'answered', status: head.status, ofUid: head.ofUid };
  }
  if (head.kind === 'replayed') {
    const ofUid = Buffer.from(head.answer.body ?? '', 'base64').toString();
    return { kind: 'replayed', ofUid };
  }
  return head;
}

/**
 * Sends a caller's request to an entry VM and waits for the answer.
 * @param fleet - The fleet.
 * @param vm - The entry VM that the caller chose.
 * @param asked - The request.
 * @param onAnswer - Hears once what the caller saw.
 */
export function sendFromCaller(
  fleet: VirtualFleet,
  vm: VirtualVm,
  asked: CallerRequest,
  onAnswer?: OnAnswer,
): void {
  const { clock, network } = fleet;
  const hopMs = network.options.clientHopMs;
  const sentAt = clock.now();
  let head: AnswerHead | undefined;
  let isOver = false;
  let cancelPatience: CancelTimer = () => {};
  const finish = (answer: CallerAnswer) => {
    if (isOver) return;
    isOver = true;
    cancelPatience();
    const tookMs = clock.now() - sentAt;
    fleet.observe({ kind: 'callerAnswered', request: asked, vm: vm.id, answer, tookMs });
    onAnswer?.(answer);
  };
  const port: AnswerPort = {
    answered: (answer) => {
      head = answer;
    },
    ended: (end) => {
      const answer: CallerAnswer =
        head === undefined || end === 'cut' ? { kind: 'broken' } : readHead(head);
      clock.after(hopMs, () => finish(answer));
    },
    lost: (silent) => {
      if (!silent) clock.after(hopMs, () => finish({ kind: 'broken' }));
    },
  };
  fleet.observe({ kind: 'callerSent', request: asked, vm: vm.id });
  let giveUp = () => finish({ kind: 'gaveUp' });
  cancelPatience = clock.after(
    (asked.deadlineMs ?? DEFAULT_PATIENCE_MS) + 4 * hopMs + CONNECT_TIMEOUT_MS,
    () => giveUp(),
  );
  clock.after(hopMs, () => {
    if (vm.life === 'ended' || vm.isClosed) {
      const waitMs = vm.isMachineDown ? CONNECT_TIMEOUT_MS : hopMs;
      clock.after(waitMs, () => finish({ kind: 'refused' }));
      return;
    }
    const live = fleet.arrive(vm, asked, port, { remainingMs: asked.deadlineMs });
    giveUp = () => {
      finish({ kind: 'gaveUp' });
      clock.after(hopMs, () => fleet.cancelRequest(vm, live));
    };
  });
}
