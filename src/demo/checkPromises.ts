import type { Observations, ObservedStart } from './Observations.js';

/** One of the brief's nine promises, held against what was seen. */
export interface PromiseCheck {
  readonly promise: string;
  readonly kept: boolean;
  /** How many things were looked at; a check that saw nothing has shown nothing. */
  readonly seen: number;
  readonly broken: number;
  readonly detail: string;
}

/** A few seconds, after which a zone or target that leaves gets no new work. */
const CLOSING_MS = 2_000;

/** A configuration is in force everywhere within this. */
const IN_FORCE_MS = 10_000;

type Check = (observed: Observations) => Omit<PromiseCheck, 'promise' | 'kept'>;

function countWork(observed: Observations, kind: 'zone' | 'target') {
  const closures = observed.closures.filter((closure) => closure.kind === kind);
  const isLate = (start: ObservedStart): boolean =>
    closures.some(
      ({ name, from, to }) =>
        name === (kind === 'zone' ? start.zone : start.target) &&
        start.at > from + CLOSING_MS &&
        start.at < to,
    );
  const lasting = closures.filter(({ from, to }) => to - from > CLOSING_MS).length;
  return { seen: lasting, broken: observed.starts.filter(isLate).length };
}

function checkMeasuring({ probes, store }: Observations) {
  const over = probes.filter(({ probeMs, allowedMs }) => probeMs > allowedMs).length;
  const isStoreOver = store.writes > store.allowedWrites || store.reads > store.allowedReads;
  return {
    seen: probes.length,
    broken: over + (isStoreOver ? 1 : 0),
    detail: `${over} of ${probes.length} targets over their probe budget; the store's busiest second had ${store.writes} writes of ${store.allowedWrites} and ${store.reads} reads of ${store.allowedReads}`,
  };
}

function checkCold({ starts, falls }: Observations) {
  const cold = starts.filter((start) => start.cold);
  const over = cold.filter(({ held, bears }) => held > bears).length;
  return {
    seen: cold.length,
    broken: over + falls,
    detail: `${over} of ${cold.length} starts at cold targets beyond what they bore; ${falls} targets fell over`,
  };
}

function checkZoneOut(observed: Observations) {
  const { seen, broken } = countWork(observed, 'zone');
  const detail = `${broken} starts later than ${CLOSING_MS} ms after a zone was taken out`;
  return { seen, broken, detail };
}

function checkWhole({ sendings }: Observations) {
  const answers = sendings.filter(({ end }) => end === 'whole' || end === 'wrong');
  const broken = answers.filter(({ end }) => end === 'wrong').length;
  return { seen: answers.length, broken, detail: `${broken} of ${answers.length} answers wrong` };
}

function checkNotRun({ sendings, starts }: Observations) {
  const ran = new Set(starts.map(({ uid }) => uid));
  const told = sendings.filter(({ end }) => end === 'not-run');
  const broken = told.filter(({ uid }) => ran.has(uid)).length;
  return { seen: told.length, broken, detail: `${broken} of ${told.length} had been run` };
}

function checkOnce({ starts }: Observations) {
  const runs = new Map<string, number>();
  for (const { key } of starts) if (key !== undefined) runs.set(key, (runs.get(key) ?? 0) + 1);
  const broken = [...runs.values()].filter((count) => count > 1).length;
  return { seen: runs.size, broken, detail: `${broken} of ${runs.size} request keys ran twice` };
}

function checkLeaving(observed: Observations) {
  const { seen, broken } = countWork(observed, 'target');
  const detail = `${broken} starts later than ${CLOSING_MS} ms after the VM list showed it leaving`;
  return { seen, broken, detail };
}

function checkStops({ stops, sendings }: Observations) {
  const cut = sendings.filter(
    ({ end, address, sentAt, endedAt }) =>
      end === 'cut' &&
      stops.some((stop) => stop.address === address && endedAt >= stop.from && sentAt <= stop.to),
  );
  const detail = `${cut.length} requests cut in ${stops.length} planned stops`;
  return { seen: stops.length, broken: cut.length, detail };
}

function checkConfiguration({ publications, reverts }: Observations) {
  const late = publications.filter(
    ({ inForceAfterMs }) => inForceAfterMs === undefined || inForceAfterMs > IN_FORCE_MS,
  ).length;
  const slowest = Math.max(0, ...publications.map((each) => each.inForceAfterMs ?? Infinity));
  return {
    seen: publications.length,
    broken: late + reverts,
    detail: `${publications.length} publications, the slowest in force everywhere after ${Math.round(slowest)} ms; ${reverts} reverts`,
  };
}

const CHECKS: Readonly<Record<string, Check>> = {
  'measuring stays within its budget': checkMeasuring,
  'a cold target gets no more than it can bear': checkCold,
  'a zone that is out gets no new work after a few seconds': checkZoneOut,
  'every caller gets the whole answer to its own request': checkWhole,
  '"not run" is said only of what was not run': checkNotRun,
  'what may not be repeated runs at most once': checkOnce,
  'a leaving target gets no new work after a few seconds': checkLeaving,
  'a planned stop cuts no request': checkStops,
  'an accepted configuration is in force within seconds and never reverts': checkConfiguration,
};

/** Promises that a short run may have had no occasion to keep. */
const MAY_SEE_NOTHING = new Set(['"not run" is said only of what was not run']);

/**
 * Holds what was seen against the nine promises. A promise that nothing was seen of is not kept,
 * but for "not run", which a good run has no need to say.
 * @param observed - What was seen from outside.
 * @example
 * const broken = checkPromises(observed).filter(({ kept }) => !kept);
 */
export function checkPromises(observed: Observations): PromiseCheck[] {
  return Object.entries(CHECKS).map(([promise, check]) => {
    const { seen, broken, detail } = check(observed);
    const kept = broken === 0 && (seen > 0 || MAY_SEE_NOTHING.has(promise));
    return { promise, kept, seen, broken, detail };
  });
}
