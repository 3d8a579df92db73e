import type { EvidenceCounts, RolloutGuidance, RolloutReport } from '../rollouts/index.js';

/** What coordinators answer to a report. */
export interface GuidanceMessage extends RolloutGuidance {
  readonly kind: 'guidance';
  readonly order: string;
  /** Time since the order, as far as the coordinator knows, in milliseconds. */
  readonly ageMs: number;
}

/** What VMs tell each other about rollouts, one datagram each. */
export type RolloutMessage = ({ readonly kind: 'report' } & RolloutReport) | GuidanceMessage;

/** Key, answers and bad ones: names of fields would double the datagram. */
type PackedCount = readonly [key: string, answers: number, bad: number];

interface PackedReport {
  readonly kind: 'report';
  readonly counts: readonly PackedCount[];
}

/**
 * Writes a message.
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

function unpack(counts: readonly PackedCount[]): EvidenceCounts {
  return Object.fromEntries(counts.map(([key, answers, bad]) => [key, { answers, bad }]));
}

/**
 * Reads a message; throws if the text is none.
 * @param text - What came.
 */
export function readRolloutMessage(text: string): RolloutMessage {
  const message = JSON.parse(text) as PackedReport | GuidanceMessage;
  if (message.kind === 'guidance') return message;
  if (message.kind !== 'report' || !Array.isArray(message.counts)) {
    throw new TypeError('the datagram is no message about a rollout');
  }
  return { ...message, counts: unpack(message.counts) } as RolloutMessage;
}
