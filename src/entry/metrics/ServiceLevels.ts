import type { EntryState } from '../../core/index.js';
import type { Logger } from '../../logging/Logger.js';
import { getFlushPeriodMs, ServiceLevelRecorder, ServiceLevelStore } from '../../report/index.js';
import type { StoreClient } from '../../store/index.js';
import type { TimerService } from '../../timing/index.js';
import type { HttpExchange } from '../exchange/HttpExchange.js';
import type { EntryMetrics } from './EntryMetrics.js';

/** Dependencies of `ServiceLevels`. */
export interface ServiceLevelsParts {
  /** Read-only. */
  readonly state: EntryState;
  readonly store: StoreClient;
  readonly metrics: EntryMetrics;
  readonly logger: Logger;
}

/**
 * Counts how the callers of this entry VM were served and periodically flushes the counts to the
 * store, since the VM itself has no persistent storage. A forwarded request is counted on the entry
 * VM that its caller is connected to.
 */
export class ServiceLevels {
  /** @internal */
  private readonly recorder: ServiceLevelRecorder;

  /** @internal */
  private readonly levelStore: ServiceLevelStore;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: ServiceLevelsParts) {
    const { state, store } = parts;
    const { services } = state.configuration;
    this.recorder = new ServiceLevelRecorder({
      getObjective: (service) => services.get(service)?.objective,
      wallNow: Date.now,
    });
    this.levelStore = new ServiceLevelStore(store, state.settings.self.id);
  }

  /**
   * Counts a request that ended.
   * @param exchange - The request.
   * @param latencyMs - Time from the request's head to the end of its answer, in milliseconds.
   */
  record(exchange: HttpExchange, latencyMs: number): void {
    const { state, metrics } = this.parts;
    const service = state.configuration.services.get(exchange.service);
    if (service === undefined) return;
    metrics.observeRequest(service.name, latencyMs);
    const outcome = exchange.getOutcome();
    // A caller that disconnected within the latency objective doesn't count. One that disconnected
    // after it was served too slowly.
    if (outcome === undefined && latencyMs <= service.objective.latencyMs) return;
    this.recorder.record({
      service: service.name,
      zone: exchange.origin?.zone ?? state.settings.self.zone,
      target: exchange.origin?.target,
      outcome: outcome ?? 'answered',
      latencyMs,
    });
  }

  /**
   * Schedules periodic flushes of the counts.
   * @param timers - Timer service that runs the flushes.
   */
  scheduleFlushes(timers: TimerService): void {
    timers.subscribe(getFlushPeriodMs(this.parts.state.settings), () => {
      this.flush().catch((error: Error) => this.parts.logger.warn('entry', error.message));
    });
  }

  /** Flushes the counts to the store now. */
  async flush(): Promise<void> {
    const isStored = await this.levelStore.flush(this.recorder, Date.now());
    if (!isStored) this.parts.logger.warn('entry', 'service-level counts not stored; will retry');
  }
}
