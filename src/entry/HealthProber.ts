import type { CoreEvent, Effect, ProbeEnded, TargetId } from '../core/index.js';
import { readLoadReport } from './attempts/loadReport.js';
import type { TargetPools } from './attempts/TargetPools.js';
import { cleanHeaders } from './exchange/headers.js';

type ProbeEffect = Extract<Effect, { kind: 'probe' }>;

/** Sends health probes to targets over the connection pools that requests use. */
export class HealthProber {
  /**
   * @param pools - Connection pools of the targets.
   * @param canSend - Whether this process may send to a target now; checked just before the first
   * byte of a probe is written.
   * @param dispatch - Receives the result of each probe.
   */
  constructor(
    private readonly pools: TargetPools,
    private readonly canSend: (target: TargetId) => boolean,
    private readonly dispatch: (event: CoreEvent) => void,
  ) {}

  /**
   * Sends one probe.
   * @param effect - Target, path and timeout of the probe.
   */
  probe(effect: ProbeEffect): void {
    const { target, address, path, timeoutMs } = effect;
    let hasStartedWriting = false;
    let abort: (() => void) | undefined;
    let timer: NodeJS.Timeout | undefined;
    let result: Omit<ProbeEnded, 'kind' | 'target'> | undefined;
    let hasEnded = false;
    const finish = (ended: Omit<ProbeEnded, 'kind' | 'target'>): void => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      this.dispatch({ kind: 'probeEnded', target, ...ended });
    };
    timer = setTimeout(() => {
      finish({ end: hasStartedWriting ? 'timedOut' : 'notSent' });
      abort?.();
    }, timeoutMs);
    this.pools.get(target, address).dispatch(
      { method: 'GET', path, headersTimeout: 0, bodyTimeout: 0 },
      {
        onConnect: (abortProbe) => {
          abort = abortProbe;
          if (hasEnded || hasStartedWriting || !this.canSend(target)) abortProbe();
          else hasStartedWriting = true;
        },
        onHeaders: (status, raw) => {
          if (status < 200) return true;
          const load = readLoadReport(cleanHeaders(raw));
          const end = status < 300 ? 'healthy' : 'unhealthy';
          result = { end, load };
          return true;
        },
        onData: () => true,
        onComplete: () => finish(result ?? { end: 'reset' }),
        onError: () => finish({ end: hasStartedWriting ? 'reset' : 'notSent' }),
      },
    );
  }
}
