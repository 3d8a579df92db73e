import { CumulativeTest } from './CumulativeTest.js';
import type { AnswerCounts } from './model.js';
import type { DeltasByRoute } from './ReportAggregator.js';
import type { EvidenceDelta, VersionTest } from './VersionTest.js';

/** Minimum number of answers of new targets before a version is found good. */
const MIN_NEW_ANSWERS = 20;

/**
 * Minimum number of answers on each route that receives at least `MIN_ROUTE_SHARE` of the old
 * targets' answers.
 */
const MIN_ROUTE_ANSWERS = 6;
const MIN_ROUTE_SHARE = 0.05;

/** Highest suspicion at which a version can be found good. */
export const MAX_GOOD_SUSPICION = 0.5;

/** Assessment of a version by its answers so far. */
export type Verdict = 'bad' | 'good' | 'unsure';

interface RouteEvaluation {
  readonly test: VersionTest;
  old: number;
  new: number;
}

function mergeDeltas(deltas: Iterable<EvidenceDelta>): EvidenceDelta {
  const merged = { old: { answers: 0, bad: 0 }, new: new Map<string, AnswerCounts>() };
  for (const delta of deltas) {
    merged.old.answers += delta.old.answers;
    merged.old.bad += delta.old.bad;
    for (const [group, { answers, bad }] of delta.new) {
      const known = merged.new.get(group) ?? { answers: 0, bad: 0 };
      merged.new.set(group, { answers: known.answers + answers, bad: known.bad + bad });
    }
  }
  return merged;
}

function countNewAnswers({ new: groups }: EvidenceDelta): number {
  return [...groups.values()].reduce((sum, { answers }) => sum + answers, 0);
}

/** Evaluates a version by its answers on each route and on all routes together. */
export class VersionJudge {
  /** @internal */
  private readonly routes = new Map<string, RouteEvaluation>();

  /** @internal */
  private readonly overall: RouteEvaluation;

  /** @param createTest - Creates the test for one route. */
  constructor(private readonly createTest: () => VersionTest = () => new CumulativeTest()) {
    this.overall = this.createRoute();
  }

  /**
   * Adds the answers since the last call.
   * @param deltas - Answers by route.
   * @param now - Monotonic milliseconds.
   */
  add(deltas: DeltasByRoute, now: number): void {
    for (const [route, delta] of deltas) {
      const evaluation = this.routes.get(route) ?? this.createRoute();
      this.routes.set(route, evaluation);
      VersionJudge.addDelta(evaluation, delta, now);
    }
    VersionJudge.addDelta(this.overall, mergeDeltas(deltas.values()), now);
  }

  /** Current assessment of the version. */
  get verdict(): Verdict {
    const evaluations = [this.overall, ...this.routes.values()];
    if (evaluations.some(({ test }) => test.isBad)) return 'bad';
    if (this.overall.new < MIN_NEW_ANSWERS || this.suspicion > MAX_GOOD_SUSPICION) return 'unsure';
    const hasEnoughPerRoute = [...this.routes.values()].every(
      (route) => route.old < MIN_ROUTE_SHARE * this.overall.old || route.new >= MIN_ROUTE_ANSWERS,
    );
    return hasEnoughPerRoute ? 'good' : 'unsure';
  }

  /**
   * Strength of the evidence against the version, on the route where it is strongest or on all
   * routes together; 1 reaches the decision threshold.
   */
  get suspicion(): number {
    return Math.max(...[this.overall, ...this.routes.values()].map(({ test }) => test.suspicion));
  }

  /** Route with the strongest evidence against the version; undefined if no single route has it. */
  get suspectRoute(): string | undefined {
    const highest = this.suspicion;
    if (highest === 0) return undefined;
    return [...this.routes].find(([, { test }]) => test.suspicion === highest)?.[0];
  }

  /** Share of all answers that each route received, without rarely used routes. */
  get trafficShares(): ReadonlyMap<string, number> {
    const total = this.overall.old + this.overall.new;
    const shares = [...this.routes].map(([name, route]) => [name, (route.old + route.new) / total]);
    const counted = (shares as [string, number][]).filter(([, share]) => share >= MIN_ROUTE_SHARE);
    return new Map(counted);
  }

  /** @internal */
  private createRoute(): RouteEvaluation {
    return { test: this.createTest(), old: 0, new: 0 };
  }

  /** @internal */
  private static addDelta(evaluation: RouteEvaluation, delta: EvidenceDelta, now: number): void {
    evaluation.test.add(delta, now);
    evaluation.old += delta.old.answers;
    evaluation.new += countNewAnswers(delta);
  }
}
