import type { Effect, LogLevel } from '../core/index.js';
import type { Logger } from '../logging/Logger.js';
import type { PeerClient } from '../peers/index.js';
import type { StoreClient } from '../store/index.js';
import type { AttemptRunner } from './attempts/AttemptRunner.js';
import type { TargetPools } from './attempts/TargetPools.js';
import type { Exchanges } from './exchange/Exchanges.js';
import type { EntryMetrics } from './metrics/EntryMetrics.js';
import type { HealthProber } from './HealthProber.js';
import type { EventLoop } from './EventLoop.js';

/** Components that run the core's effects. */
export interface EffectParts {
  readonly eventLoop: Pick<EventLoop, 'dispatch'>;
  readonly attempts: AttemptRunner;
  readonly exchanges: Exchanges;
  readonly pools: TargetPools;
  readonly prober: HealthProber;
  readonly store: StoreClient;
  readonly peers: PeerClient;
  readonly metrics: EntryMetrics;
  readonly logger: Logger;
  readonly onExit: () => void;
}

/** Runs effects of one kind. */
type EffectRunner<K extends Effect['kind']> = (
  effect: Extract<Effect, { kind: K }>,
  parts: EffectParts,
) => void;

type EffectRunners = { readonly [K in Effect['kind']]: EffectRunner<K> };

const LOG_METHODS: Record<LogLevel, (logger: Logger, part: string, text: string) => void> = {
  debug: (logger, part, text) => logger.debug(part, text),
  info: (logger, part, text) => logger.info(part, text),
  warn: (logger, part, text) => logger.warn(part, text),
  error: (logger, part, text) => logger.error(part, text),
};

const EFFECT_RUNNERS: EffectRunners = {
  sendAttempt: (effect, { attempts }) => attempts.send(effect),
  cancelAttempt: ({ attempt }, { attempts }) => attempts.cancel(attempt),
  relayAnswer: ({ request, attempt }, { attempts, exchanges }) => {
    const exchange = exchanges.get(request);
    if (exchange !== undefined) attempts.relay(attempt, exchange);
  },
  answerRequest: ({ request, answer }, { exchanges }) => exchanges.get(request)?.answer(answer),
  replayAnswer: ({ request, answer }, { exchanges }) => exchanges.get(request)?.replay(answer),
  abortRequest: ({ request }, { exchanges }) => exchanges.get(request)?.abort(),
  probe: (effect, { prober }) => prober.probe(effect),
  callStore: ({ call, op }, { store, eventLoop }) => {
    store
      .call(op)
      .then((result) => eventLoop.dispatch({ kind: 'storeAnswered', call, result }))
      .catch(() => {});
  },
  sendPeer: ({ peer, peerAddress, message }, { peers }) => peers.send(peer, peerAddress, message),
  closeConnections: ({ target }, { pools }) => pools.close(target),
  log: ({ level, part, text }, { logger }) => LOG_METHODS[level](logger, part, text),
  count: ({ metric, labels, by }, { metrics }) => metrics.count(metric, labels, by),
  exit: (_effect, { onExit }) => onExit(),
  raise: ({ event }, { eventLoop }) => eventLoop.dispatch(event),
};

/**
 * Runs an effect.
 * @param effect - The effect returned by the reducer.
 * @param parts - The components that run it.
 */
export function runEffect(effect: Effect, parts: EffectParts): void {
  EFFECT_RUNNERS[effect.kind](effect as never, parts);
}
