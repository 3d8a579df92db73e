import { parentPort, workerData } from 'node:worker_threads';

import type { MatrixCase } from './runCase.js';
import { runCase } from './runCase.js';

/** Runs its share of a matrix's cases and posts each outcome. */
for (const [index, matrixCase] of workerData as [number, MatrixCase][]) {
  const { violations, struck } = runCase(matrixCase);
  parentPort?.postMessage({ index, violations, struck });
}
