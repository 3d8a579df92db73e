import type { OutcomeReport } from '../balancing/index.js';

import { checkAmount, checkText } from './messageChecks.js';

/** Prefix of datagrams about outcomes, which distinguishes them from others on the same socket. */
const OUTCOME_PREFIX = 'outcomes ';

/** Target, start of its run, successes, failures. */
type PackedReport = readonly [string, number, number, number];

function roundToTenths(value: number): number {
  return Number(value.toFixed(1));
}

function unpackReport([target, bornAt, successes, failures]: PackedReport): OutcomeReport {
  checkText(target, 'target');
  checkAmount(bornAt, 'bornAt');
  checkAmount(successes, 'successes');
  checkAmount(failures, 'failures');
  return { target, bornAt, counts: { successes, failures } };
}

/**
 * Whether a datagram is a message about outcomes.
 * @param text - Content of the datagram.
 */
export function isOutcomeMessage(text: string): boolean {
  return text.startsWith(OUTCOME_PREFIX);
}

/**
 * Encodes reports.
 * @param reports - The reports.
 */
export function writeOutcomeMessage(reports: readonly OutcomeReport[]): string {
  const packed: readonly PackedReport[] = reports.map(({ target, bornAt, counts }) => [
    target,
    bornAt,
    roundToTenths(counts.successes),
    roundToTenths(counts.failures),
  ]);
  return OUTCOME_PREFIX + JSON.stringify(packed);
}

/**
 * Decodes a message. Throws `SyntaxError` or `TypeError` if the text is no message about outcomes.
 * @param text - Content of the datagram.
 */
export function readOutcomeMessage(text: string): readonly OutcomeReport[] {
  const packed = JSON.parse(text.slice(OUTCOME_PREFIX.length)) as readonly PackedReport[];
  return packed.map(unpackReport);
}
