import { CumulativeTest } from './CumulativeTest.js';
import type { AnswerCounts } from './model.js';
import type { TallySteps } from './RolloutTally.js';
import type { EvidenceStep, VersionTest } from './VersionTest.js';

/** Answers of new targets without which a version is not taken for good. */
const LEAST_ANSWERS = 20;

/** The same for each route that has a share of the old targets' answers of at least this. */
const LEAST_ROUTE_ANSWERS = 6;
const COUNTED_ROUTE_SHARE = 0.05;

/** With more suspicion than this a version is not taken for good. */
export const MOST_SUSPICION = 0.5;

/** What the answers so far say of a version. */
export type Verdict = 'bad' | 'good' | 'unsure';

interface JudgedRoute {
  readonly test: VersionTest;
  old: number;
  new: number;
}

function mergeSteps(steps: Iterable<EvidenceStep>): EvidenceStep {
  const merged = { old: { answers: 0, bad: 0 }, new: new Map<string, AnswerCounts>() };
  for (const step of steps) {
    merged.old.answers += step.old.answers;
    merged.old.bad += step.old.bad;
    for (const [group, { answers, bad }] of step.new) {
      const known = merged.new.get(group) ?? { answers: 0, bad: 0 };
      merged.new.set(group, { answers: known.answers + answers, bad: known.bad + bad });
    }
  }
  return merged;
}

function countNew({ new: groups }: EvidenceStep): number {
  return [...groups.values()].reduce((sum, { answers }) => sum + answers, 0);
}

/** Judges a version by its answers on each route and on all of them together. */
export class VersionJudge {
  /** @internal */
  private readonly routes = new Map<string, JudgedRoute>();

  /** @internal */
  private readonly all: JudgedRoute;

  /** @param createTest - Makes the test of one route. */
  constructor(private readonly createTest: () => VersionTest = () => new CumulativeTest()) {
    this.all = this.createRoute();
  }

  /**
   * Takes what came since the last look.
   * @param steps - Answers by route.
   * @param now - Monotonic milliseconds.
   */
  take(steps: TallySteps, now: number): void {
    for (const [route, step] of steps) {
      const judged = this.routes.get(route) ?? this.createRoute();
      this.routes.set(route, judged);
      VersionJudge.feed(judged, step, now);
    }
    VersionJudge.feed(this.all, mergeSteps(steps.values()), now);
  }

  /** What is to be thought of the version now. */
  get verdict(): Verdict {
    const judged = [this.all, ...this.routes.values()];
    if (judged.some(({ test }) => test.isBad)) return 'bad';
    if (this.all.new < LEAST_ANSWERS || this.suspicion > MOST_SUSPICION) return 'unsure';
    const isTried = [...this.routes.values()].every(
      (route) => route.old < COUNTED_ROUTE_SHARE * this.all.old || route.new >= LEAST_ROUTE_ANSWERS,
    );
    return isTried ? 'good' : 'unsure';
  }

  /** How much speaks against the version, on the route where that is most; 1 condemns it. */
  get suspicion(): number {
    return Math.max(...[this.all, ...this.routes.values()].map(({ test }) => test.suspicion));
  }

  /** Route that speaks most against the version; undefined if no single one does. */
  get suspectRoute(): string | undefined {
    const most = this.suspicion;
    if (most === 0) return undefined;
    return [...this.routes].find(([, { test }]) => test.suspicion === most)?.[0];
  }

  /** Part of all answers that came on each route, without routes that hardly any came on. */
  get routeParts(): ReadonlyMap<string, number> {
    const all = this.all.old + this.all.new;
    const parts = [...this.routes].map(([name, route]) => [name, (route.old + route.new) / all]);
    const counted = (parts as [string, number][]).filter(([, part]) => part >= COUNTED_ROUTE_SHARE);
    return new Map(counted);
  }

  /** @internal */
  private createRoute(): JudgedRoute {
    return { test: this.createTest(), old: 0, new: 0 };
  }

  /** @internal */
  private static feed(judged: JudgedRoute, step: EvidenceStep, now: number): void {
    judged.test.take(step, now);
    judged.old += step.old.answers;
    judged.new += countNew(step);
  }
}
