import type { LabPlan } from './LabPlan.js';

/** Kinds of traffic whose bytes between zones are counted. */
export type Traffic = 'request' | 'answered' | 'rejected' | 'probe' | 'message';

/**
 * Bytes of each kind on the network, with headers. They are assumptions, not measured: a request and
 * its answer of a few kilobytes, a probe with its result, and one datagram between VMs.
 */
export const TRAFFIC_BYTES: Readonly<Record<Traffic, number>> = {
  request: 2_000,
  answered: 4_000,
  rejected: 400,
  probe: 700,
  message: 200,
};

/** Returns the names of a plan's zones. */
export function getZoneNames({ zones }: LabPlan): string[] {
  return Array.from({ length: zones?.count ?? 1 }, (_, i) => `zone-${i + 1}`);
}

/** Returns the zone of the VM or target with a zero-based index; zones take turns. */
export function getZoneName({ zones }: LabPlan, index: number): string {
  return `zone-${(index % (zones?.count ?? 1)) + 1}`;
}

/** Returns the one-way delay between two zones, in milliseconds. */
export function getDelayMs({ zones, oneWayDelayMs }: LabPlan, from: string, to: string): number {
  return from === to ? oneWayDelayMs : (zones?.betweenDelayMs ?? oneWayDelayMs);
}

/** Returns a zone's demand as a multiple of its mean. */
export function getDemandFactor({ zones }: LabPlan, zone: number, at: number): number {
  const wave = zones?.wave;
  if (wave === undefined) return 1;
  const { swing, periodMs, phases } = wave;
  return 1 + swing * Math.sin(2 * Math.PI * (at / periodMs + phases[zone]));
}
