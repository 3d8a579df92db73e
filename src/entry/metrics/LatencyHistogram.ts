import type { MetricObjectWithValues, MetricValueWithName, Registry } from 'prom-client';
import { Histogram } from 'prom-client';

/** Name, help text and label of a latency histogram. */
export interface LatencyHistogramOptions {
  readonly name: string;
  readonly help: string;
  readonly label: string;
  readonly registers: Registry[];
}

interface Series {
  /** Observations per bucket; the last bucket has no upper bound. */
  readonly counts: number[];
  /** Sum of the observed latencies, in seconds. */
  sum: number;
}

/** Upper bounds of the buckets, in seconds. */
const BOUNDS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

const MS_PER_SECOND = 1_000;

/**
 * A prom-client histogram with counting of its own. prom-client builds a string from the labels for
 * each observation, which adds noticeably to the cost of a request; this class does one map lookup.
 */
export class LatencyHistogram extends Histogram {
  /** @internal */
  private readonly series = new Map<string, Series>();

  /** @param latencyOptions - Name, help text and label. */
  constructor(private readonly latencyOptions: LatencyHistogramOptions) {
    const { name, help, label, registers } = latencyOptions;
    super({ name, help, labelNames: [label], buckets: BOUNDS_SECONDS, registers });
  }

  /**
   * Records one latency.
   * @param labelValue - Value of the histogram's label.
   * @param milliseconds - The latency.
   */
  observeMs(labelValue: string, milliseconds: number): void {
    const seconds = milliseconds / MS_PER_SECOND;
    let series = this.series.get(labelValue);
    if (series === undefined) {
      series = {
        counts: Array.from({ length: BOUNDS_SECONDS.length + 1 }, () => 0),
        sum: 0,
      };
      this.series.set(labelValue, series);
    }
    let bucket = 0;
    while (bucket < BOUNDS_SECONDS.length && seconds > BOUNDS_SECONDS[bucket]) bucket += 1;
    series.counts[bucket] += 1;
    series.sum += seconds;
  }

  override async get(): Promise<MetricObjectWithValues<MetricValueWithName<string>>> {
    const { name, help } = this.latencyOptions;
    const values = [...this.series].flatMap(([value, series]) =>
      this.toMetricValues(value, series),
    );
    // prom-client declares this field as an enum that exists only in its type declarations.
    const type = 'histogram' as never;
    return { name, help, type, values, aggregator: 'sum', collect: () => {} };
  }

  /** Called by prom-client when it renders the metrics in text format. */
  async getForPromString(): Promise<MetricObjectWithValues<MetricValueWithName<string>>> {
    return this.get();
  }

  /** @internal */
  private toMetricValues(
    labelValue: string,
    { counts, sum }: Series,
  ): MetricValueWithName<string>[] {
    const { name, label } = this.latencyOptions;
    const labels = { [label]: labelValue };
    let total = 0;
    const buckets = counts.map((count, i) => {
      total += count;
      const le = i < BOUNDS_SECONDS.length ? String(BOUNDS_SECONDS[i]) : '+Inf';
      return { metricName: `${name}_bucket`, labels: { le, ...labels }, value: total };
    });
    return [
      ...buckets,
      { metricName: `${name}_sum`, labels, value: sum },
      { metricName: `${name}_count`, labels, value: total },
    ];
  }
}
