import type { AttemptId, TargetId } from '../core/model/index.js';
import type { SendingFacts } from './events.js';
import type { PendingRequest } from './PendingRequest.js';

/** Why a request that was sent has certainly not run. */
export type EvidenceKind =
  /** The target stated that it has not run the request. */
  | 'rejected'
  /** Another target has the address. */
  | 'misdirected'
  /** No connection was established. */
  | 'unsent'
  /** The VM that the request was passed on to refused it. */
  | 'refusedByVm';

/** Evidence that one sending of a request has not run. */
export interface Evidence {
  readonly kind: EvidenceKind;
  readonly attempt: AttemptId;
  /** Undefined if the request was passed on to another VM. */
  readonly target?: TargetId;
  /** Start of the target, in Unix milliseconds. */
  readonly bornAt?: number;
  /** VM that the request was passed on to. */
  readonly via?: string;
  /** That VM's reason. */
  readonly reason?: string;
  /** Time since the request was sent, in milliseconds. */
  readonly tookMs: number;
  readonly facts?: SendingFacts;
}

/** Evidence that is kept and logged of one request; attempts that are unsent may be many. */
const MAX_EVIDENCE = 5;

/** Longest id of another request that is logged, in characters. */
const MAX_ID_LENGTH = 64;

/**
 * Adds evidence to a request; beyond a few entries, the earliest is left out.
 * @param pending - The request.
 * @param evidence - The evidence.
 */
export function addEvidence(pending: PendingRequest, evidence: Evidence): void {
  pending.evidenceCount += 1;
  pending.evidence = [...pending.evidence, evidence].slice(-MAX_EVIDENCE);
}

/** Returns an id that an answer named, in a form that fits into a line. */
export function shortenId(id: string): string {
  return id.slice(0, MAX_ID_LENGTH);
}

/** Formats evidence as `name=value` pairs; what is unknown is left out. */
function formatEvidence({ kind, facts = {}, ...evidence }: Evidence): string {
  const { connection, otherId, named, status } = facts;
  const pairs: Readonly<Record<string, string | number | undefined>> = {
    attempt: evidence.attempt,
    target: evidence.target,
    bornAt: evidence.bornAt,
    via: evidence.via,
    end: kind,
    reason: evidence.reason,
    status,
    named,
    tookMs: evidence.tookMs,
    ...(connection === undefined
      ? { connection: 'none' }
      : {
          connection: connection.isKept ? 'kept' : 'new',
          requests: connection.requests,
          probes: connection.probes,
          ageMs: connection.ageMs,
          sentBytes: connection.sentBytes,
        }),
    otherId: otherId === undefined ? undefined : shortenId(otherId),
  };
  return Object.entries(pairs)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

/**
 * Returns the log fields that state why a refused request has not run.
 * @param pending - The request.
 * @returns Empty if the request was never sent.
 * @example
 * getEvidenceFields(pending); // { evidence: ['attempt=7 target=t-1 bornAt=1 end=rejected …'] }
 */
export function getEvidenceFields({
  evidence,
  evidenceCount,
}: PendingRequest): Readonly<Record<string, unknown>> {
  if (evidenceCount === 0) return {};
  const leftOut = evidenceCount - evidence.length;
  return {
    evidence: evidence.map(formatEvidence),
    ...(leftOut === 0 ? {} : { evidenceLeftOut: leftOut }),
  };
}

/** Returns the kinds of evidence that a refusal rests on, each once. */
export function getEvidenceKinds({ evidence }: PendingRequest): EvidenceKind[] {
  return [...new Set(evidence.map(({ kind }) => kind))];
}
