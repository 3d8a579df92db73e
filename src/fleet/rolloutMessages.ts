import type { EvidenceCounts, RolloutGuidance, RolloutReport } from '../rollouts/index.js';

/** Answer of a coordinator to a report. */
export interface GuidanceMessage extends RolloutGuidance {
  readonly kind: 'guidance';
  readonly order: string;
  /** Time since the order was first seen, as far as the coordinator knows, in milliseconds. */
  readonly ageMs: number;
}

/** Message between VMs about a rollout, one per datagram. */
export type RolloutMessage = ({ readonly kind: 'report' } & RolloutReport) | GuidanceMessage;

/** Counts of one key as a tuple, since field names would double the size of the datagram. */
type PackedCount = readonly [key: string, answers: number, bad: number];

interface PackedReport {
  readonly kind: 'report';
  readonly counts: readonly PackedCount[];
}

/**
 * Encodes a message as JSON.
 * @param message - The message.
 */
export function writeRolloutMessage(message: RolloutMessage): string {
  if (message.kind === 'guidance') return JSON.stringify(message);
  const counts = Object.entries(message.counts).map(([key, { answers, bad }]) => [
    key,
    answers,
    bad,
  ]);
  return JSON.stringify({ ...message, counts });
}

function unpackCounts(counts: readonly PackedCount[]): EvidenceCounts {
  return Object.fromEntries(counts.map(([key, answers, bad]) => [key, { answers, bad }]));
}

/**
 * Decodes a message. Throws `SyntaxError` if the text is not JSON, and `TypeError` if it is no
 * message about a rollout.
 * @param text - Content of the datagram.
 */
export function readRolloutMessage(text: string): RolloutMessage {
  const message = JSON.parse(text) as PackedReport | GuidanceMessage;
  if (message.kind === 'guidance') return message;
  if (message.kind !== 'report' || !Array.isArray(message.counts)) {
    throw new TypeError('datagram is not a rollout message');
  }
  return { ...message, counts: unpackCounts(message.counts) } as RolloutMessage;
}
