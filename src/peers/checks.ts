import type { PeerMessage } from '../core/index.js';
import type { AnswerFrame, ForwardFrame } from './forwardFrames.js';

/** Returns whether a value has the expected type or shape. */
type Check = (value: unknown) => boolean;

type CheckTable = Readonly<Record<string, Check>>;

const isObject: Check = (value) =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isString: Check = (value) => typeof value === 'string';
const isNumber: Check = (value) => typeof value === 'number' && !Number.isNaN(value);
const isBoolean: Check = (value) => typeof value === 'boolean';
const isBytes: Check = (value) => value instanceof Uint8Array;
const isArray: Check = (value) => Array.isArray(value);
const isStringArray: Check = (value) => Array.isArray(value) && value.every(isString);
const isKeyEnd: Check = (value) => value === 'notRun' || isObject(value);

function optional(isValid: Check): Check {
  return (value) => value === undefined || value === null || isValid(value);
}

function hasFields(checks: CheckTable): Check {
  return (value) => {
    if (!isObject(value)) return false;
    const record = value as Record<string, unknown>;
    return Object.entries(checks).every(([name, isValid]) => isValid(record[name]));
  };
}

function isArrayOf(isValid: Check): Check {
  return (value) => Array.isArray(value) && value.every(isValid);
}

const isSpare = hasFields({ service: isString, slots: isNumber, queued: isNumber });
const isMember = hasFields({
  id: isString,
  zone: isString,
  address: isString,
  peerAddress: isString,
});
const isAssignment = hasFields({
  epoch: isNumber,
  members: isArrayOf(isMember),
  earlier: isArray,
  nonce: isString,
});
const isRoot = hasFields({
  generation: isNumber,
  zones: isArray,
  services: isObject,
  nonce: isString,
});
const isServiceObject = hasFields({ hash: isString, service: hasFields({ name: isString }) });

/** Required fields of each kind of peer message; a new kind does not compile without its check. */
const MESSAGE_CHECKS: Readonly<Record<PeerMessage['kind'], Check>> = {
  heartbeat: hasFields({
    appliedEpoch: isNumber,
    generation: isNumber,
    leaseRemainingMs: isNumber,
    leaseVersion: isNumber,
    leaving: isBoolean,
    spares: isArrayOf(isSpare),
    sequence: isNumber,
    echo: isNumber,
    confirmedAgoMs: isNumber,
  }),
  hello: hasFields({ member: isMember }),
  spare: hasFields({ spare: isSpare }),
  assignmentTold: hasFields({ assignment: isAssignment }),
  assignmentHeard: hasFields({ epoch: isNumber, confirmations: isArray }),
  lapsesTold: hasFields({ before: isNumber, lapses: isArray }),
  confirmAsked: hasFields({ epoch: isNumber, round: isNumber }),
  confirmAnswered: hasFields({
    knownEpoch: isNumber,
    round: isNumber,
    generation: isNumber,
    knownGeneration: isNumber,
  }),
  handover: hasFields({
    epoch: isNumber,
    targets: isArrayOf(
      hasFields({ target: isString, phase: isString, limit: isNumber, outstanding: isNumber }),
    ),
  }),
  handoverDrained: hasFields({ target: isString, outstanding: isNumber }),
  configurationAsked: hasFields({
    have: isNumber,
    services: isArrayOf(hasFields({ name: isString, hash: isString })),
  }),
  configurationTold: hasFields({ root: optional(isRoot), services: isArrayOf(isServiceObject) }),
  keyClaimAsked: hasFields({
    claim: isNumber,
    service: isString,
    key: isString,
    fingerprint: isString,
    retentionMs: isNumber,
  }),
  keyClaimAnswered: hasFields({ claim: isNumber, result: hasFields({ kind: isString }) }),
  keyEnded: hasFields({
    claim: isNumber,
    service: isString,
    key: isString,
    fingerprint: isString,
    end: isKeyEnd,
  }),
  keyEndHeard: hasFields({ claim: isNumber }),
  suspectsTold: hasFields({
    suspects: isArrayOf(
      hasFields({
        fingerprint: isString,
        crashes: isArrayOf(hasFields({ target: isString, bornAt: isNumber, ageMs: isNumber })),
        answeredAgeMs: optional(isNumber),
      }),
    ),
  }),
};

const FORWARD_CHECKS: Readonly<Record<ForwardFrame['kind'], Check>> = {
  head: hasFields({
    service: isString,
    caller: isString,
    fingerprint: isString,
    key: optional(isString),
    method: isString,
    path: isString,
    headers: isStringArray,
    remainingMs: isNumber,
    contentLength: optional(isNumber),
    body: optional(isBytes),
  }),
  body: hasFields({ data: isBytes }),
  end: () => true,
};

const ANSWER_CHECKS: Readonly<Record<AnswerFrame['kind'], Check>> = {
  answer: hasFields({
    status: isNumber,
    headers: isStringArray,
    contentType: optional(isString),
    endsWithConnection: isBoolean,
    ownOutcome: optional(isString),
    retryAfterMs: optional(isNumber),
    spare: optional(isSpare),
    target: optional(isString),
    zone: optional(isString),
  }),
  body: hasFields({ data: isBytes }),
  end: hasFields({ whole: isBoolean }),
};

function checkByKind<T>(checks: CheckTable, value: unknown): T | undefined {
  if (!isObject(value)) return undefined;
  const { kind } = value as { kind?: unknown };
  if (typeof kind !== 'string' || !Object.hasOwn(checks, kind)) return undefined;
  return checks[kind]?.(value) === true ? (value as T) : undefined;
}

/**
 * Returns a decoded value as a peer message, or undefined if its kind is unknown or a field is
 * missing or has the wrong type.
 * @param value - The decoded value.
 */
export function checkPeerMessage(value: unknown): PeerMessage | undefined {
  return checkByKind<PeerMessage>(MESSAGE_CHECKS, value);
}

/**
 * Returns a decoded value as a frame of a forwarded request, or undefined if its kind is unknown or
 * a field is missing or has the wrong type.
 * @param value - The decoded value.
 */
export function checkForwardFrame(value: unknown): ForwardFrame | undefined {
  return checkByKind<ForwardFrame>(FORWARD_CHECKS, value);
}

/**
 * Returns a decoded value as a frame of the answer to a forwarded request, or undefined if its kind
 * is unknown or a field is missing or has the wrong type.
 * @param value - The decoded value.
 */
export function checkAnswerFrame(value: unknown): AnswerFrame | undefined {
  return checkByKind<AnswerFrame>(ANSWER_CHECKS, value);
}
