import type { ServiceConfig, ZoneName } from '../core/index.js';
import type { Deployment } from '../proof/deployments.js';
import type { CallerAnswer, CallerRequest } from '../proof/observations.js';
import { VirtualClock } from '../proof/VirtualClock.js';
import type { TargetModel } from '../standIns/models/index.js';
import { countSlots, MEAN_SERVICE_MS } from './arrivals.js';
import { makeTargetModels } from './makeTargets.js';
import type { World } from './World.js';

interface Waiting {
  readonly request: CallerRequest;
  readonly onAnswer: (answer: CallerAnswer) => void;
}

interface CentralService {
  readonly config: ServiceConfig;
  readonly targets: { readonly model: TargetModel; readonly zone: ZoneName }[];
  readonly queue: Waiting[];
}

const RETRY_CHECK_MS = 1;

/**
 * The yardstick: one queue for each service that knows at once of each free slot, each slow, cold
 * or dead target, and pays the same hops (client, entry VM, target) as the systems measured.
 */
export class CentralQueue implements World {
  readonly clock = new VirtualClock();

  readonly targets: Map<string, TargetModel>;

  /** @internal */
  private readonly services = new Map<string, CentralService>();

  /** @internal */
  private readonly zonesOut = new Set<ZoneName>();

  /** @internal */
  private readonly oneWayMs: number;

  /**
   * @param deployment - Services and targets.
   * @param zoneHopMs - From the entry VM to a target of its zone, in milliseconds.
   * @param seed - For what requests don't bring along.
   */
  constructor(deployment: Deployment, zoneHopMs: number, seed: number) {
    this.oneWayMs = deployment.clientHopMs + zoneHopMs;
    this.targets = makeTargetModels(deployment, this.clock, seed);
    for (const config of deployment.services) {
      const targets = config.targets.flatMap(({ id, zone }) => {
        const model = this.targets.get(id);
        return model === undefined ? [] : [{ model, zone }];
      });
      this.services.set(config.name, { config, targets, queue: [] });
    }
    this.lookAgain();
  }

  send(request: CallerRequest, onAnswer: (answer: CallerAnswer) => void): void {
    this.clock.after(this.oneWayMs, () => {
      const service = this.services.get(request.service);
      if (service === undefined) return;
      service.queue.push({ request, onAnswer });
      this.serve(service);
    });
  }

  setZone(zone: ZoneName, state: 'in' | 'out'): void {
    if (state === 'out') this.zonesOut.add(zone);
    else this.zonesOut.delete(zone);
  }

  killEntryVm(): void {}

  setStoreDown(): void {}

  /** What nobody tells of, such as a target that is up again, is seen at the next look. @internal */
  private lookAgain(): void {
    this.clock.after(RETRY_CHECK_MS, () => {
      for (const service of this.services.values()) this.serve(service);
      this.lookAgain();
    });
  }

  /** @internal */
  private serve(service: CentralService): void {
    while (service.queue.length > 0) {
      const model = this.findTarget(service);
      if (model === undefined) return;
      const next = service.queue.shift();
      if (next !== undefined) this.run(service, model, next);
    }
  }

  /** The fastest target with a free slot, unless waiting for a healthy one is quicker. @internal */
  private findTarget(service: CentralService): TargetModel | undefined {
    let best: TargetModel | undefined;
    for (const { model, zone } of service.targets) {
      if (model.isDown || model.outstanding >= model.capacity || this.zonesOut.has(zone)) continue;
      const isFaster = best === undefined || this.compare(model, best) < 0;
      if (isFaster) best = model;
    }
    if (best === undefined) return undefined;
    const waitMs = (service.queue.length * MEAN_SERVICE_MS) / countSlots(service.config);
    const extraMs = (best.faults.slowFactor - 1) * MEAN_SERVICE_MS;
    return extraMs > waitMs ? undefined : best;
  }

  /** @internal */
  private compare(left: TargetModel, right: TargetModel): number {
    return left.faults.slowFactor - right.faults.slowFactor || left.outstanding - right.outstanding;
  }

  /** @internal */
  private run(service: CentralService, model: TargetModel, waiting: Waiting): void {
    const { request, onAnswer } = waiting;
    const { uid, fingerprint, serviceMs } = request;
    let status = 0;
    model.acceptRequest(
      { uid, sender: 'central', fingerprint, isProbe: false, newConnection: false, serviceMs },
      {
        answered: (given) => {
          status = given;
        },
        ended: (end) => {
          if (end === 'complete') {
            const answer: CallerAnswer = { kind: 'answered', status, ofUid: uid };
            this.clock.after(this.oneWayMs, () => onAnswer(answer));
            this.clock.after(0, () => this.serve(service));
          } else if (request.method === 'GET' && fingerprint !== 'crash') {
            service.queue.unshift(waiting);
          } else {
            this.clock.after(this.oneWayMs, () => onAnswer({ kind: 'broken' }));
          }
        },
      },
    );
  }
}
