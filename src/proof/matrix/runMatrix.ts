import { Worker } from 'node:worker_threads';

import type { Violation } from '../promises/index.js';
import type { MatrixCase } from './runCase.js';
import { runCase } from './runCase.js';

/** A case with what was seen of it. */
export interface CaseResult {
  readonly matrixCase: MatrixCase;
  readonly violations: readonly Violation[];
  /** Strikes whose step was reached. */
  readonly struck: number;
}

type Posted = Omit<CaseResult, 'matrixCase'> & { readonly index: number };

/**
 * Runs cases one after another in this thread.
 * @param cases - The cases.
 */
export function runCases(cases: readonly MatrixCase[]): CaseResult[] {
  return cases.map((matrixCase) => ({ matrixCase, ...runCase(matrixCase) }));
}

/**
 * Runs cases in a few threads.
 * @param cases - The cases.
 * @param threads - How many threads.
 * @param onDone - Called with the number of cases done, after each.
 * @throws Error if a case itself throws.
 */
export async function runCasesInThreads(
  cases: readonly MatrixCase[],
  threads: number,
  onDone: (done: number) => void,
): Promise<CaseResult[]> {
  const results: CaseResult[] = [];
  let done = 0;
  const runShare = (thread: number) =>
    new Promise<void>((resolve, reject) => {
      const share = [...cases.entries()].filter(([index]) => index % threads === thread);
      const worker = new Worker(new URL('matrixWorker.js', import.meta.url), {
        workerData: share,
      });
      worker.on('message', ({ index, violations, struck }: Posted) => {
        const matrixCase = cases[index];
        if (matrixCase !== undefined) results[index] = { matrixCase, violations, struck };
        done += 1;
        onDone(done);
      });
      worker.on('error', reject);
      worker.on('exit', () => resolve());
    });
  await Promise.all(Array.from({ length: threads }, (_, thread) => runShare(thread)));
  return results;
}
