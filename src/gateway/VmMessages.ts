import type { BalancerEffect, BalancerEvent, BalancerState } from '../balancing/index.js';
import { takeOutcomeReports } from '../balancing/index.js';
import type { GatewaySettings } from '../config/index.js';
import { CrashSync } from '../fleet/CrashSync.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { LimitEffect } from '../fleet/LimitSync.js';
import { LimitSync } from '../fleet/LimitSync.js';
import { OutcomeSync } from '../fleet/OutcomeSync.js';
import type { QuotaEffect } from '../fleet/QuotaSync.js';
import { isQuotaEffect, QuotaSync } from '../fleet/QuotaSync.js';
import type { NeighbourMonitor } from '../fleet/NeighbourMonitor.js';
import { RolloutSync } from '../fleet/RolloutSync.js';
import type { EventLog } from '../logging/EventLog.js';
import type { ObjectStore } from '../platform/index.js';
import type { ExposureBound } from '../rollouts/index.js';
import type { Clock, TimerService } from '../timing/index.js';
import { getOwnRollout } from './getOwnRollout.js';

/** Effects of the balancer that send datagrams to other VMs. */
export type MessageEffect =
  LimitEffect | QuotaEffect | Extract<BalancerEffect, { kind: 'gossipCrashes' }>;

/** Handlers of the effects that send datagrams. */
export type MessageHandlers = Readonly<
  Record<MessageEffect['kind'], (effect: MessageEffect) => void>
>;

/**
 * Creates the handlers of the effects that send datagrams.
 * @param getMessages - Returns what sends them.
 */
export function createMessageHandlers(getMessages: () => VmMessages): MessageHandlers {
  const run = (effect: MessageEffect): void => getMessages().runEffect(effect);
  return {
    askPermit: run,
    answerPermit: run,
    returnPermit: run,
    askQuota: run,
    answerQuota: run,
    returnQuota: run,
    gossipLimits: run,
    gossipCrashes: run,
  };
}

/** Dependencies of `VmMessages`. */
export interface VmMessagesParts {
  readonly settings: GatewaySettings;
  /** Identifies this run of this VM's process. */
  readonly runId: string;
  readonly state: BalancerState;
  readonly store: ObjectStore;
  readonly view: FleetView;
  readonly neighbours: NeighbourMonitor;
  readonly clock: Clock;
  readonly log: EventLog;
  dispatch(event: BalancerEvent): void;
}

/** The datagrams by which VMs tell each other of limits, crashes, outcomes and rollouts. */
export class VmMessages {
  /** @internal */
  private readonly limitSync: LimitSync;

  /** @internal */
  private readonly crashSync: CrashSync;

  /** @internal */
  private readonly quotaSync: QuotaSync;

  /** @internal */
  private readonly outcomeSync: OutcomeSync;

  /** Undefined if the settings do not enable rollouts. @internal */
  private readonly rolloutSync: RolloutSync | undefined;

  /** @param parts - Dependencies. */
  constructor(private readonly parts: VmMessagesParts) {
    const { state, clock, settings } = parts;
    this.limitSync = new LimitSync({
      ...parts,
      getFreshReports: () => state.limits.getFreshReports(clock.now()),
    });
    this.crashSync = new CrashSync({
      ...parts,
      getNewsToRepeat: (count) => state.crashes.getNewsToRepeat(count, clock.now()),
    });
    this.quotaSync = new QuotaSync(parts);
    this.outcomeSync = new OutcomeSync({
      ...parts,
      takeReports: (count) => takeOutcomeReports(state, count, clock.now()),
    });
    const { rollouts: exposureBound } = settings.balancing;
    this.rolloutSync = exposureBound && this.createRolloutSync(exposureBound);
  }

  /** Starts what is sent periodically. */
  start(timers: TimerService): void {
    this.limitSync.start(timers);
    this.crashSync.start(timers);
    this.outcomeSync.start(timers);
    this.rolloutSync?.start(timers);
  }

  /**
   * Handles a datagram of another VM.
   * @param text - Its content.
   * @param address - Peer address of the VM that sent it.
   */
  receive(text: string, address: string): void {
    const { limitSync, crashSync, outcomeSync, quotaSync } = this;
    const isRead = [limitSync, crashSync, outcomeSync, quotaSync].some((sync) =>
      sync.receive(text, address),
    );
    if (!isRead) this.rolloutSync?.receive(text, address);
  }

  /**
   * Sends the message of an effect.
   * @param effect - The effect.
   */
  runEffect(effect: MessageEffect): void {
    if (effect.kind === 'gossipCrashes') this.crashSync.runEffect(effect);
    else if (isQuotaEffect(effect)) this.quotaSync.runEffect(effect);
    else this.limitSync.runEffect(effect);
  }

  /** @internal */
  private createRolloutSync(bound: ExposureBound): RolloutSync {
    const { settings, runId, state, neighbours, clock, dispatch } = this.parts;
    return new RolloutSync({
      ...this.parts,
      self: settings.self,
      run: runId,
      bound,
      send: (text, address) => neighbours.send(text, address),
      getOwnRollout: (order) => getOwnRollout(state, order, clock.now()),
      onGuidance: (order, guidance, until) =>
        dispatch({ kind: 'rolloutGuided', order, guidance, until }),
    });
  }
}
