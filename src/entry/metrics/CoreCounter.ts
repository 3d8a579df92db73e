import type { Registry } from 'prom-client';
import { Counter } from 'prom-client';

/** Name, help text and labels of a counter. */
export interface CoreCounterOptions {
  readonly name: string;
  readonly help: string;
  readonly labels: readonly string[];
  readonly registers: Registry[];
}

/** Increments of one label set that haven't been passed to prom-client yet. */
interface PendingIncrement {
  readonly labels: Readonly<Record<string, string>>;
  by: number;
}

/** A counter of the core. Increments are buffered and passed to prom-client on each scrape. */
export class CoreCounter {
  /** @internal */
  private readonly pending = new Map<string, PendingIncrement>();

  /** @internal */
  private readonly counter: Counter;

  /** @param options - Name, help text and labels. */
  constructor(private readonly options: CoreCounterOptions) {
    const { name, help, labels, registers } = options;
    this.counter = new Counter({
      name,
      help,
      labelNames: labels,
      registers,
      collect: () => this.flush(),
    });
  }

  /**
   * Increments the counter. Labels that the counter doesn't declare are ignored.
   * @param labels - Label values by label name.
   * @param by - The increment.
   */
  add(labels: Readonly<Record<string, string>>, by: number): void {
    let key = '';
    for (const name of this.options.labels) key += `${labels[name] ?? ''}\n`;
    const existing = this.pending.get(key);
    if (existing === undefined) this.pending.set(key, { labels, by });
    else existing.by += by;
  }

  /** @internal */
  private flush(): void {
    for (const { labels, by } of this.pending.values()) {
      const names = this.options.labels.filter((name) => labels[name] !== undefined);
      this.counter.inc(Object.fromEntries(names.map((name) => [name, labels[name]])), by);
    }
    this.pending.clear();
  }
}
