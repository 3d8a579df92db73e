import type { PeerMessage } from '../core/index.js';
import type { AnswerFrame, ForwardFrame } from './forwardFrames.js';

/** Whether a field of a message is what it should be. */
type Check = (value: unknown) => boolean;

type Checks = Readonly<Record<string, Check>>;

const isObject: Check = (value) =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isString: Check = (value) => typeof value === 'string';
const isNumber: Check = (value) => typeof value === 'number' && !Number.isNaN(value);
const isBoolean: Check = (value) => typeof value === 'boolean';
const isBytes: Check = (value) => value instanceof Uint8Array;
const isList: Check = (value) => Array.isArray(value);
const isTextList: Check = (value) => Array.isArray(value) && value.every(isString);
const isEnd: Check = (value) => value === 'notRun' || isObject(value);

function optional(isFine: Check): Check {
  return (value) => value === undefined || value === null || isFine(value);
}

function fields(checks: Checks): Check {
  return (value) => {
    if (!isObject(value)) return false;
    const record = value as Record<string, unknown>;
    return Object.entries(checks).every(([name, isFine]) => isFine(record[name]));
  };
}

function listOf(isFine: Check): Check {
  return (value) => Array.isArray(value) && value.every(isFine);
}

const isSpare = fields({ service: isString, slots: isNumber, queued: isNumber });
const isMember = fields({
  id: isString,
  zone: isString,
  address: isString,
  peerAddress: isString,
});
const isAssignment = fields({
  epoch: isNumber,
  members: listOf(isMember),
  earlier: isList,
  nonce: isString,
});
const isRoot = fields({
  generation: isNumber,
  zones: isList,
  services: isObject,
  nonce: isString,
});
const isServiceObject = fields({ hash: isString, service: fields({ name: isString }) });

/** What each peer message must have; a new kind of message does not compile without its check. */
const MESSAGE_CHECKS: Readonly<Record<PeerMessage['kind'], Check>> = {
  heartbeat: fields({
    appliedEpoch: isNumber,
    generation: isNumber,
    leaseRemainingMs: isNumber,
    leaseVersion: isNumber,
    leaving: isBoolean,
    spares: listOf(isSpare),
    sequence: isNumber,
    echo: isNumber,
    confirmedAgoMs: isNumber,
  }),
  hello: fields({ member: isMember }),
  spare: fields({ spare: isSpare }),
  assignmentTold: fields({ assignment: isAssignment }),
  assignmentHeard: fields({ epoch: isNumber, confirmations: isList }),
  lapsesTold: fields({ before: isNumber, lapses: isList }),
  confirmAsked: fields({ epoch: isNumber, round: isNumber }),
  confirmAnswered: fields({
    knownEpoch: isNumber,
    round: isNumber,
    generation: isNumber,
    knownGeneration: isNumber,
  }),
  handover: fields({
    epoch: isNumber,
    targets: listOf(
      fields({ target: isString, phase: isString, limit: isNumber, outstanding: isNumber }),
    ),
  }),
  handoverDrained: fields({ target: isString, outstanding: isNumber }),
  configurationAsked: fields({
    have: isNumber,
    services: listOf(fields({ name: isString, hash: isString })),
  }),
  configurationTold: fields({ root: optional(isRoot), services: listOf(isServiceObject) }),
  keyClaimAsked: fields({
    claim: isNumber,
    service: isString,
    key: isString,
    fingerprint: isString,
    retentionMs: isNumber,
  }),
  keyClaimAnswered: fields({ claim: isNumber, result: fields({ kind: isString }) }),
  keyEnded: fields({
    claim: isNumber,
    service: isString,
    key: isString,
    fingerprint: isString,
    end: isEnd,
  }),
  keyEndHeard: fields({ claim: isNumber }),
  suspectsTold: fields({
    suspects: listOf(
      fields({
        service: isString,
        fingerprint: isString,
        crashes: isNumber,
        remainingMs: isNumber,
        reporter: isString,
      }),
    ),
  }),
};

const FORWARD_CHECKS: Readonly<Record<ForwardFrame['kind'], Check>> = {
  head: fields({
    service: isString,
    caller: isString,
    fingerprint: isString,
    key: optional(isString),
    method: isString,
    path: isString,
    headers: isTextList,
    remainingMs: isNumber,
    contentLength: optional(isNumber),
    body: optional(isBytes),
  }),
  body: fields({ data: isBytes }),
  end: () => true,
};

const ANSWER_CHECKS: Readonly<Record<AnswerFrame['kind'], Check>> = {
  answer: fields({
    status: isNumber,
    headers: isTextList,
    contentType: optional(isString),
    endsWithConnection: isBoolean,
    ownOutcome: optional(isString),
    retryAfterMs: optional(isNumber),
    spare: optional(isSpare),
    target: optional(isString),
    zone: optional(isString),
  }),
  body: fields({ data: isBytes }),
  end: fields({ whole: isBoolean }),
};

function check<T>(checks: Checks, value: unknown): T | undefined {
  if (!isObject(value)) return undefined;
  const { kind } = value as { kind?: unknown };
  if (typeof kind !== 'string' || !Object.hasOwn(checks, kind)) return undefined;
  return checks[kind]?.(value) === true ? (value as T) : undefined;
}

/**
 * A value as a peer message; undefined if it is none.
 * @param value - What was decoded.
 */
export function checkPeerMessage(value: unknown): PeerMessage | undefined {
  return check<PeerMessage>(MESSAGE_CHECKS, value);
}

/**
 * A value as a frame of a forwarded request; undefined if it is none.
 * @param value - What was decoded.
 */
export function checkForwardFrame(value: unknown): ForwardFrame | undefined {
  return check<ForwardFrame>(FORWARD_CHECKS, value);
}

/**
 * A value as a frame of a forwarded request's answer; undefined if it is none.
 * @param value - What was decoded.
 */
export function checkAnswerFrame(value: unknown): AnswerFrame | undefined {
  return check<AnswerFrame>(ANSWER_CHECKS, value);
}
