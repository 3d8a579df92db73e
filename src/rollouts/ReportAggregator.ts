import { parseEvidenceKey } from './evidence.js';
import type { AnswerCounts, EvidenceCounts, RolloutReport } from './model.js';
import type { EvidenceDelta } from './VersionTest.js';

/**
 * Number of process runs of one VM whose counts are kept; with more restarts the oldest run is
 * dropped.
 */
const MAX_RUNS_PER_VM = 3;

const NO_ANSWERS: AnswerCounts = { answers: 0, bad: 0 };

interface RunCounts {
  readonly sequence: number;
  readonly counts: EvidenceCounts;
}

/** Answers since the last call of `takeDeltas`, by route. */
export type DeltasByRoute = ReadonlyMap<string, EvidenceDelta>;

function subtract(later: AnswerCounts, earlier: AnswerCounts): AnswerCounts {
  return { answers: later.answers - earlier.answers, bad: later.bad - earlier.bad };
}

function add(a: AnswerCounts, b: AnswerCounts): AnswerCounts {
  return { answers: a.answers + b.answers, bad: a.bad + b.bad };
}

/**
 * Aggregates the reports of entry VMs on one rollout order.
 *
 * A report holds running totals of one run of a VM's process. It may therefore be lost, delayed or
 * duplicated without being miscounted, and a VM that restarts loses nothing that it has reported.
 */
export class ReportAggregator {
  /** Latest report, by VM and then by run. @internal */
  private readonly runs = new Map<string, Map<string, RunCounts>>();

  /** Counts added since the last call of `takeDeltas`, by evidence key. @internal */
  private undelivered = new Map<string, AnswerCounts>();

  /** Total answers of old and of new targets so far. */
  totals = { old: NO_ANSWERS, new: NO_ANSWERS };

  /**
   * Adds a report.
   * @param report - What the VM counted.
   * @returns Whether the report is new; false for a late or duplicate report.
   */
  addReport({ vm, run, sequence, counts }: RolloutReport): boolean {
    const runs = this.runs.get(vm) ?? new Map<string, RunCounts>();
    this.runs.set(vm, runs);
    const known = runs.get(run);
    if (known !== undefined && known.sequence >= sequence) return false;
    runs.set(run, { sequence, counts });
    if (runs.size > MAX_RUNS_PER_VM) runs.delete([...runs.keys()][0]);
    for (const [key, count] of Object.entries(counts)) {
      this.addCount(key, subtract(count, known?.counts[key] ?? NO_ANSWERS));
    }
    return true;
  }

  /** Returns the answers added since the last call. */
  takeDeltas(): DeltasByRoute {
    const deltas = new Map<string, { old: AnswerCounts; new: Map<string, AnswerCounts> }>();
    for (const [key, count] of this.undelivered) {
      const { route, group } = parseEvidenceKey(key);
      const delta = deltas.get(route) ?? { old: NO_ANSWERS, new: new Map<string, AnswerCounts>() };
      deltas.set(route, delta);
      if (group === undefined) delta.old = add(delta.old, count);
      else delta.new.set(group, add(delta.new.get(group) ?? NO_ANSWERS, count));
    }
    this.undelivered = new Map();
    return deltas;
  }

  /** @internal */
  private addCount(key: string, count: AnswerCounts): void {
    if (count.answers <= 0) return;
    this.undelivered.set(key, add(this.undelivered.get(key) ?? NO_ANSWERS, count));
    const side = parseEvidenceKey(key).group === undefined ? 'old' : 'new';
    this.totals = { ...this.totals, [side]: add(this.totals[side], count) };
  }
}
