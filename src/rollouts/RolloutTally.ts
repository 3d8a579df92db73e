import { parseEvidenceKey } from './evidence.js';
import type { AnswerCounts, EvidenceCounts, RolloutReport } from './model.js';
import type { EvidenceStep } from './VersionTest.js';

/** Runs of one VM's process whose counts are kept; VMs that restart more often lose the oldest. */
const MOST_RUNS = 3;

const NONE: AnswerCounts = { answers: 0, bad: 0 };

interface Reported {
  readonly sequence: number;
  readonly counts: EvidenceCounts;
}

/** Answers since the last look, by route. */
export type TallySteps = ReadonlyMap<string, EvidenceStep>;

function subtract(later: AnswerCounts, earlier: AnswerCounts): AnswerCounts {
  return { answers: later.answers - earlier.answers, bad: later.bad - earlier.bad };
}

function add(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return { answers: a.answers + b.answers, bad: a.bad + b.bad };
}

/**
 * Sums up what entry VMs report of an order.
 *
 * Reports hold totals of one run of a VM's process, so that one may be lost, late or come twice
 * without being counted wrongly, and a VM that restarts loses nothing that it had reported.
 */
export class RolloutTally {
  /** By VM, then by run. @internal */
  private readonly runs = new Map<string, Map<string, Reported>>();

  /** What came since the last look, by evidence key. @internal */
  private fresh = new Map<string, AnswerCounts>();

  /** Answers of old and of new targets so far. */
  totals = { old: NONE, new: NONE };

  /**
   * Takes a report.
   * @param report - What the VM counted.
   * @returns Whether it is news; a late or repeated one is none.
   */
  take({ vm, run, sequence, counts }: RolloutReport): boolean {
    const runs = this.runs.get(vm) ?? new Map<string, Reported>();
    this.runs.set(vm, runs);
    const known = runs.get(run);
    if (known !== undefined && known.sequence >= sequence) return false;
    runs.set(run, { sequence, counts });
    if (runs.size > MOST_RUNS) runs.delete([...runs.keys()][0]);
    for (const [key, count] of Object.entries(counts)) {
      this.note(key, subtract(count, known?.counts[key] ?? NONE));
    }
    return true;
  }

  /** Takes out what came since the last look. */
  takeSteps(): TallySteps {
    const steps = new Map<string, { old: AnswerCounts; new: Map<string, AnswerCounts> }>();
    for (const [key, count] of this.fresh) {
      const { route, group } = parseEvidenceKey(key);
      const step = steps.get(route) ?? { old: NONE, new: new Map<string, AnswerCounts>() };
      steps.set(route, step);
      if (group === undefined) step.old = add(step.old, count);
      else step.new.set(group, add(step.new.get(group) ?? NONE, count));
    }
    this.fresh = new Map();
    return steps;
  }

  /** @internal */
  private note(key: string, count: AnswerCounts): void {
    if (count.answers <= 0) return;
    this.fresh.set(key, add(this.fresh.get(key) ?? NONE, count));
    const side = parseEvidenceKey(key).group === undefined ? 'old' : 'new';
    this.totals = { ...this.totals, [side]: add(this.totals[side], count) };
  }
}
