/**
 * Half-lives of counted outcomes, in milliseconds. Successes are forgotten sooner, so that those from
 * before a fault do not hide it; failures later, as a failing target gets few requests.
 */
const SUCCESS_HALF_LIFE_MS = 2_000;
const FAILURE_HALF_LIFE_MS = 8_000;

/**
 * Successes a second that each share assumes besides those counted: a single failure says little
 * about a target.
 */
const PRIOR_SUCCESSES_PER_SECOND = 0.1;

/**
 * Number of VMs that must have seen failures before those of other VMs count. What a single one sees
 * may be a fault of its path.
 */
const MIN_WITNESSES = 2;

/** A VM with fewer failures than this, weighted by age, does not count as a witness. */
const MIN_WITNESSED_FAILURES = 0.1;

/** A VM that has not reported for this long is forgotten, in milliseconds. */
const REPORT_TTL_MS = 5 * FAILURE_HALF_LIFE_MS;

/** How attempts have ended at a target; numbers weighted by age. */
export interface OutcomeCounts {
  readonly successes: number;
  readonly failures: number;
}

interface DatedCounts extends OutcomeCounts {
  /** When the counts were current; monotonic milliseconds. */
  readonly at: number;
}

const NO_OUTCOMES: DatedCounts = { successes: 0, failures: 0, at: 0 };

function decay({ successes, failures, at }: DatedCounts, now: number): OutcomeCounts {
  const ageMs = Math.max(0, now - at);
  return {
    successes: successes * 0.5 ** (ageMs / SUCCESS_HALF_LIFE_MS),
    failures: failures * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS),
  };
}

function add(a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts {
  return { successes: a.successes + b.successes, failures: a.failures + b.failures };
}

/** Converts a count that is weighted by age to the rate that leads to it, per second. */
function toRate(count: number, halfLifeMs: number): number {
  return (count * Math.LN2 * 1_000) / halfLifeMs;
}

function isWitness({ failures }: OutcomeCounts): boolean {
  return failures >= MIN_WITNESSED_FAILURES;
}

/** Outcomes of attempts at one run of a target, by the VMs that made them. */
export class TargetOutcomes {
  /** Whether this VM has counted outcomes since it last reported them. */
  hasNews = false;

  /** When this VM last reported its counts; monotonic milliseconds. */
  reportedAt = Number.NEGATIVE_INFINITY;

  /** @internal */
  private own = NO_OUTCOMES;

  /** Latest reports, by the VM that sent them. @internal */
  private readonly reports = new Map<string, DatedCounts>();

  /** Sum of all counts, as of the latest change. @internal */
  private sum = NO_OUTCOMES;

  /**
   * Counts an attempt of this VM.
   * @param hasFailed - Whether there was no answer, or no usable one.
   * @param now - Monotonic milliseconds.
   */
  record(hasFailed: boolean, now: number): void {
    const outcome = hasFailed ? { successes: 0, failures: 1 } : { successes: 1, failures: 0 };
    this.own = { ...add(decay(this.own, now), outcome), at: now };
    this.hasNews = true;
    this.updateSum(now);
  }

  /**
   * Takes over what another VM has counted, instead of its earlier report.
   * @param vm - Peer address of that VM.
   * @param counts - Its counts.
   * @param now - Monotonic milliseconds.
   */
  addReport(vm: string, counts: OutcomeCounts, now: number): void {
    this.reports.set(vm, { ...counts, at: now });
    this.updateSum(now);
  }

  /**
   * What this VM has counted itself.
   * @param now - Monotonic milliseconds.
   */
  getOwnCounts(now: number): OutcomeCounts {
    return decay(this.own, now);
  }

  /**
   * Share of attempts that fail, of all VMs together, by the rates of failures and successes.
   * @param now - Monotonic milliseconds.
   * @example
   * outcomes.getFailureShare(clock.now()); // 0.4
   */
  getFailureShare(now: number): number {
    if (this.sum.failures === 0) return 0;
    const { successes, failures } = decay(this.sum, now);
    const failureRate = toRate(failures, FAILURE_HALF_LIFE_MS);
    const successRate = toRate(successes, SUCCESS_HALF_LIFE_MS) + PRIOR_SUCCESSES_PER_SECOND;
    return failureRate / (failureRate + successRate);
  }

  /**
   * Whether any VM has seen failures lately.
   * @param now - Monotonic milliseconds.
   */
  hasFailures(now: number): boolean {
    return [this.own, ...this.reports.values()].some((counts) => isWitness(decay(counts, now)));
  }

  /** @internal */
  private updateSum(now: number): void {
    const own = decay(this.own, now);
    const others: OutcomeCounts[] = [];
    for (const [vm, report] of this.reports) {
      if (now - report.at > REPORT_TTL_MS) this.reports.delete(vm);
      else others.push(decay(report, now));
    }
    const isConfirmed = [own, ...others].filter(isWitness).length >= MIN_WITNESSES;
    const counted = isConfirmed ? others : others.filter((counts) => !isWitness(counts));
    this.sum = { ...counted.reduce(add, own), at: now };
  }
}
