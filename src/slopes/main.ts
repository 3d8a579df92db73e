import process from 'node:process';

import { measureCallers } from './measureCallers.js';
import { measureConfiguration } from './measureConfiguration.js';
import { measureFleet } from './measureFleet.js';
import { measurePeerWire } from './measurePeerWire.js';
import { measurePublishing } from './measurePublishing.js';
import { measureRequestKeys } from './measureRequestKeys.js';
import { measureTargetDriving } from './measureTargetDriving.js';
import type { Slope } from './Slope.js';

/** Measurements by the role they belong to, in the order of docs/CAPACITY.md. */
const MEASUREMENTS: readonly (() => Slope[] | Promise<Slope[]>)[] = [
  measureCallers,
  measureTargetDriving,
  measureConfiguration,
  measureFleet,
  measurePeerWire,
  measureRequestKeys,
  measurePublishing,
];

function formatSlope(slope: Slope): string {
  const { role, what, per, unit, line, points } = slope;
  const sizes = points.map(({ size, cost }) => `${size}: ${cost.toFixed(2)}`).join(', ');
  const figures = `${line.intercept.toFixed(2)} + ${line.slope.toFixed(3)} x, r² ${line.rSquared.toFixed(3)}`;
  return `${role.padEnd(14)} ${what}, by ${per}\n${' '.repeat(15)}${unit}: ${figures}  (${sizes})`;
}

const slopes: Slope[] = [];
for (const measure of MEASUREMENTS) slopes.push(...(await measure()));
if (process.argv.includes('--json')) {
  process.stdout.write(`${JSON.stringify({ slopes }, null, 2)}\n`);
} else process.stdout.write(`${slopes.map(formatSlope).join('\n')}\n`);
