const BUCKETS_PER_DOUBLING = 4;
const BUCKET_COUNT = 96;
/** Upper end of the first bucket, in milliseconds. */
const FIRST_BUCKET_END_MS = 0.25;
/** Number of samples at which all counts are halved, so that old ones lose weight. */
const DECAY_AT_SAMPLES = 4_000;
/** Number of samples between two rebuilds of the tables. */
const REBUILD_EVERY = 64;
/** How much slower than its service a slow target is assumed to be, in doublings: four times. */
const SLOW_DOUBLINGS = 2;
const SLOW_SHIFT_BUCKETS = SLOW_DOUBLINGS * BUCKETS_PER_DOUBLING;
/** With fewer samples the tables would be too inaccurate to judge a target by. */
const MIN_SAMPLES = 40;
/** Most evidence that one request's age can give: a single long request must not decide. */
const MAX_AGE_EVIDENCE = 8;

function getBucket(ms: number): number {
  if (ms <= FIRST_BUCKET_END_MS) return 0;
  const bucket = Math.floor(Math.log2(ms / FIRST_BUCKET_END_MS) * BUCKETS_PER_DOUBLING) + 1;
  return bucket < BUCKET_COUNT ? bucket : BUCKET_COUNT - 1;
}

/** Upper end of a bucket, in milliseconds. */
function getBucketEnd(bucket: number): number {
  return FIRST_BUCKET_END_MS * 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

/**
 * Latencies of the targets of one service, as a histogram with logarithmic buckets in which old
 * samples lose weight. It yields the log likelihood ratio of "this target is four times slower" for
 * the age of an unanswered request and for the latency of an answer.
 */
export class LatencyDistribution {
  /** @internal */
  private readonly counts = new Float64Array(BUCKET_COUNT);

  /** @internal */
  private readonly ageEvidence = new Float64Array(BUCKET_COUNT);

  /** @internal */
  private readonly answerEvidence = new Float64Array(BUCKET_COUNT);

  /** Average age evidence of requests at targets of normal speed. @internal */
  private meanAgeEvidence = 0;

  /** @internal */
  private total = 0;

  /** @internal */
  private sum = 0;

  /** @internal */
  private sinceRebuild = 0;

  /** @internal */
  private isBuilt = false;

  /** Mean latency, in milliseconds; undefined before the first answer. */
  get mean(): number | undefined {
    return this.total > 0 ? this.sum / this.total : undefined;
  }

  /** Whether there are enough samples to judge a target by. */
  get isReliable(): boolean {
    return this.total >= MIN_SAMPLES;
  }

  /**
   * Adds the latency of one answer.
   * @param ms - Time from sending to the answer's head, in milliseconds.
   * @example
   * distribution.add(20);
   */
  add(ms: number): void {
    this.counts[getBucket(ms)] += 1;
    this.total += 1;
    this.sum += ms;
    this.sinceRebuild += 1;
    if (this.total >= DECAY_AT_SAMPLES) this.decay();
    if (this.sinceRebuild >= REBUILD_EVERY || (!this.isBuilt && this.isReliable)) this.rebuild();
  }

  /**
   * Latency that a share of the answers don't exceed, in milliseconds; undefined before the first
   * answer.
   * @param share - Between 0 and 1.
   * @example
   * const p95 = distribution.getQuantile(0.95);
   */
  getQuantile(share: number): number | undefined {
    if (this.total === 0) return undefined;
    const targetCount = share * this.total;
    let cumulativeCount = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      cumulativeCount += this.counts[bucket];
      if (cumulativeCount >= targetCount) return getBucketEnd(bucket);
    }
    return getBucketEnd(BUCKET_COUNT - 1);
  }

  /**
   * Log likelihood ratio of "slow" against "normal" for a request that has no answer yet, minus the
   * average of requests at targets of normal speed. Never lower for a higher age.
   * @param ageMs - Time since it was sent, in milliseconds.
   */
  getAgeEvidence(ageMs: number): number {
    if (!this.isBuilt) return 0;
    return Math.min(MAX_AGE_EVIDENCE, this.ageEvidence[getBucket(ageMs)] - this.meanAgeEvidence);
  }

  /**
   * Log likelihood ratio of "slow" against "normal" for a request that was answered.
   * @param ms - Time from sending to the answer's head, in milliseconds.
   */
  getAnswerEvidence(ms: number): number {
    return this.isBuilt ? this.answerEvidence[getBucket(ms)] : 0;
  }

  /** @internal */
  private decay(): void {
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) this.counts[bucket] /= 2;
    this.total /= 2;
    this.sum /= 2;
  }

  /** @internal */
  private rebuild(): void {
    this.sinceRebuild = 0;
    this.isBuilt = this.isReliable;
    // Half a sample keeps the ratios finite for buckets without samples.
    const floor = 0.5 / (this.total + 1);
    const share = (bucket: number): number =>
      bucket < 0 ? floor : (this.counts[bucket] / this.total) * (1 - floor) + floor / 4;
    const survival = new Float64Array(BUCKET_COUNT);
    let survivalAbove = floor;
    for (let bucket = BUCKET_COUNT - 1; bucket >= 0; bucket--) {
      // Includes the bucket's own answers: some may take longer than an age in the same bucket.
      survivalAbove += this.counts[bucket] / this.total;
      survival[bucket] = Math.min(1, survivalAbove);
    }
    let totalWeightMs = 0;
    let weightedEvidence = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      const slowSurvival = bucket < SLOW_SHIFT_BUCKETS ? 1 : survival[bucket - SLOW_SHIFT_BUCKETS];
      const evidence = Math.log(slowSurvival / survival[bucket]);
      // Beyond the longest latency seen the ratio falls again, but a higher age never means faster.
      const previousEvidence = bucket === 0 ? 0 : this.ageEvidence[bucket - 1];
      this.ageEvidence[bucket] = Math.max(evidence, previousEvidence);
      // Unanswered requests of an age are as frequent as answers that take longer than it.
      const survivalShare = Math.max(0, survival[bucket] - floor);
      const weightMs = survivalShare * (getBucketEnd(bucket) - getBucketEnd(bucket - 1));
      totalWeightMs += weightMs;
      weightedEvidence += weightMs * this.ageEvidence[bucket];
      this.answerEvidence[bucket] = Math.max(
        -2,
        Math.min(4, Math.log(share(bucket - SLOW_SHIFT_BUCKETS) / share(bucket))),
      );
    }
    this.meanAgeEvidence = weightedEvidence / totalWeightMs;
  }
}
