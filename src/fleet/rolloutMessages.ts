import type { EvidenceCounts, RolloutGuidance, RolloutReport } from '../rollouts/index.js';
import { ROLLOUT_PHASES } from '../rollouts/index.js';
import { checkAmount, checkText } from './messageChecks.js';

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

function checkPhase(phase: unknown): void {
  if (!ROLLOUT_PHASES.some((known) => known === phase)) throw new TypeError('phase is unknown');
}

function checkGuidance({ order, phase, share, routeShares, ageMs }: GuidanceMessage): void {
  checkText(order, 'order');
  checkPhase(phase);
  const shares = [share, ...Object.values(routeShares ?? {})];
  for (const each of shares) checkAmount(each, 'share');
  checkAmount(ageMs, 'ageMs');
}

type SentReport = PackedReport & Omit<RolloutReport, 'counts'>;

function checkReport(report: SentReport): void {
  const { order, vm, run, phase, sequence, ageMs, oldRequests } = report;
  for (const text of [order, vm, run]) checkText(text, 'name');
  checkPhase(phase);
  for (const amount of [sequence, ageMs, oldRequests]) checkAmount(amount, 'amount');
  if (!Array.isArray(report.counts)) throw new TypeError('counts are no list');
  for (const [key, answers, bad] of report.counts) {
    checkText(key, 'key');
    checkAmount(answers, 'answers');
    checkAmount(bad, 'bad');
  }
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
  const message = JSON.parse(text) as SentReport | GuidanceMessage;
  if (message.kind === 'guidance') {
    checkGuidance(message);
    return message;
  }
  if (message.kind !== 'report') throw new TypeError('datagram is not a rollout message');
  checkReport(message);
  return { ...message, counts: unpackCounts(message.counts) };
}
