import type { Logger } from '../logging/index.js';

import type { PromiseCheck } from './checkPromises.js';
import { checkPromises } from './checkPromises.js';
import { DemoCallers } from './DemoCallers.js';
import { DemoFleet, wait } from './DemoFleet.js';
import type { DemoSpec } from './DemoSpec.js';
import { DEMO_SPECS } from './DemoSpec.js';
import { Observations } from './Observations.js';
import { createSchedule } from './createSchedule.js';

/** How the demo runs. */
export interface DemoOptions {
  /** Length of the run without start and stop, in seconds. */
  readonly seconds: number;
  /** Directory of the examples. */
  readonly examples: string;
  readonly logger: Logger;
  /** Told of each thing that happens. */
  onStep(deployment: string, text: string): void;
  /** Told now and then how the run goes. */
  onProgress(progress: readonly DemoProgress[]): void;
  /** Given each fleet at the end, before it stops. */
  onEnd?(deployment: string, fleet: DemoFleet): Promise<void>;
}

/** How one deployment goes. */
export interface DemoProgress {
  readonly deployment: string;
  readonly entryVms: number;
  readonly sent: number;
  readonly whole: number;
  readonly refused: number;
  readonly failed: number;
  /** Over the whole run, in milliseconds. */
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** What came of one deployment. */
export interface DemoResult extends DemoProgress {
  readonly promises: readonly PromiseCheck[];
  readonly kept: boolean;
}

const PROGRESS_MS = 500;

/** Work at targets may go on for this long after the last request. */
const SETTLE_MS = 300;

function getQuantile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted.length === 0 ? 0 : Number(sorted[index].toFixed(1));
}

interface Running {
  readonly spec: DemoSpec;
  readonly fleet: DemoFleet;
  readonly callers: DemoCallers;
  readonly observed: Observations;
}

function getProgress({ spec, fleet, callers }: Running): DemoProgress {
  const { sent, whole, refused, failed, latencies } = callers.totals;
  const sorted = [...latencies].sort((a, b) => a - b);
  return {
    deployment: spec.name,
    entryVms: fleet.entries.size,
    sent,
    whole,
    refused,
    failed,
    p50Ms: getQuantile(sorted, 0.5),
    p99Ms: getQuantile(sorted, 0.99),
  };
}

async function start(spec: DemoSpec, options: DemoOptions): Promise<Running> {
  const observed = new Observations();
  const fleet = await DemoFleet.start(spec, options.examples, observed, options.logger);
  const known = [...fleet.entries.keys()];
  const callers = new DemoCallers({ calls: spec.calls, known, observed });
  return { spec, fleet, callers, observed };
}

async function runOne(running: Running, options: DemoOptions): Promise<DemoResult> {
  const { spec, fleet, callers, observed } = running;
  const begin = performance.now();
  const lengthMs = options.seconds * 1_000;
  callers.start();
  const steps: Promise<void>[] = [];
  for (const step of createSchedule(spec, fleet, observed)) {
    await wait(Math.max(0, begin + step.at * lengthMs - performance.now()));
    options.onStep(spec.name, step.text);
    steps.push(Promise.resolve(step.run()));
  }
  await wait(Math.max(0, begin + lengthMs - performance.now()));
  await Promise.all(steps);
  await callers.stop();
  await wait(SETTLE_MS);
  fleet.noteMeasuring(performance.now() - begin);
  const promises = checkPromises(observed);
  return { ...getProgress(running), promises, kept: promises.every(({ kept }) => kept) };
}

/**
 * Runs both deployments at the same time on loopback, with faults, and checks the nine promises by
 * what stand-ins and callers saw.
 * @param options - Length and whom to tell.
 * @example
 * const results = await runDemo({ seconds: 20, examples: 'examples', logger, onStep, onProgress });
 * const isKept = results.every(({ kept }) => kept);
 */
export async function runDemo(options: DemoOptions): Promise<DemoResult[]> {
  const running: Running[] = [];
  let timer: NodeJS.Timeout | undefined;
  try {
    for (const spec of DEMO_SPECS) {
      options.onStep(spec.name, 'starts');
      running.push(await start(spec, options));
    }
    timer = setInterval(() => options.onProgress(running.map(getProgress)), PROGRESS_MS);
    const results = await Promise.all(running.map((each) => runOne(each, options)));
    for (const { spec, fleet } of running) await options.onEnd?.(spec.name, fleet);
    return results;
  } finally {
    clearInterval(timer);
    await Promise.all(running.map(({ fleet }) => fleet.kill()));
  }
}
