import type { TargetId, ZoneName } from '../core/index.js';
import type { Deployment } from '../proof/deployments.js';
import type { CallerAnswer, CallerRequest } from '../proof/observations.js';
import { VirtualClock } from '../proof/VirtualClock.js';
import type { TargetModel } from '../standIns/models/index.js';
import { createRandom } from '../standIns/models/index.js';
import { makeTargetModels } from './makeTargets.js';
import type { World } from './World.js';

/** An entry VM that sends to every target and knows only what it sent itself. */
interface LocalEntry {
  readonly outstanding: Map<TargetId, number>;
  readonly connected: Set<TargetId>;
  turn: number;
  isDown: boolean;
}

/** Picks a target for an entry VM. */
type Pick = (entry: LocalEntry, targets: readonly TargetId[], random: () => number) => TargetId;

const CONFIGURATION_LAG_MS = 1_000;

const PICKS: Readonly<Record<'two-choices' | 'round-robin', Pick>> = {
  'round-robin': (entry, targets) => {
    entry.turn += 1;
    return targets[entry.turn % targets.length] ?? '';
  },
  'two-choices': (entry, targets, random) => {
    const first = targets[Math.floor(random() * targets.length)] ?? '';
    const second = targets[Math.floor(random() * targets.length)] ?? '';
    const load = (id: TargetId) => entry.outstanding.get(id) ?? 0;
    return load(second) < load(first) ? second : first;
  },
};

/** The baselines: each entry VM sends to every target, by its own counts or in turn. */
export class LocalChoice implements World {
  readonly clock = new VirtualClock();

  readonly targets: Map<TargetId, TargetModel>;

  /** @internal */
  private readonly entries: LocalEntry[];

  /** @internal */
  private readonly random: () => number;

  /** @internal */
  private readonly zonesOut = new Set<ZoneName>();

  /** @internal */
  private readonly pick: Pick;

  /** @internal */
  private readonly oneWayMs: number;

  /**
   * @param deployment - Services, targets and entry VMs.
   * @param policy - How an entry VM picks.
   * @param zoneHopMs - From an entry VM to a target, in milliseconds; the nearest, in its favour.
   * @param seed - For its random choices.
   */
  constructor(
    private readonly deployment: Deployment,
    policy: keyof typeof PICKS,
    zoneHopMs: number,
    seed: number,
  ) {
    this.pick = PICKS[policy];
    this.random = createRandom(seed);
    this.oneWayMs = deployment.clientHopMs + zoneHopMs;
    this.targets = makeTargetModels(deployment, this.clock, seed);
    this.entries = deployment.machines.map(() => ({
      outstanding: new Map(),
      connected: new Set(),
      turn: Math.floor(this.random() * 100),
      isDown: false,
    }));
  }

  send(request: CallerRequest, onAnswer: (answer: CallerAnswer) => void): void {
    const alive = this.entries.filter(({ isDown }) => !isDown);
    const entry = alive[Math.floor(this.random() * alive.length)];
    if (entry === undefined) return;
    this.clock.after(this.oneWayMs, () => this.forward(entry, request, onAnswer, 0));
  }

  setZone(zone: ZoneName, state: 'in' | 'out'): void {
    this.clock.after(CONFIGURATION_LAG_MS, () => {
      if (state === 'out') this.zonesOut.add(zone);
      else this.zonesOut.delete(zone);
    });
  }

  killEntryVm(): void {
    const [first] = this.entries;
    if (first !== undefined) first.isDown = true;
  }

  setStoreDown(): void {}

  /** @internal */
  private getTargets(name: string): TargetId[] {
    const service = this.deployment.services.find((each) => each.name === name);
    return (service?.targets ?? [])
      .filter(({ zone }) => !this.zonesOut.has(zone))
      .map(({ id }) => id);
  }

  /** @internal */
  private forward(
    entry: LocalEntry,
    request: CallerRequest,
    onAnswer: (answer: CallerAnswer) => void,
    tries: number,
  ): void {
    if (entry.isDown) return;
    const id = this.pick(entry, this.getTargets(request.service), this.random);
    const model = this.targets.get(id);
    if (model === undefined) return;
    const { uid, fingerprint, serviceMs } = request;
    const newConnection = !entry.connected.has(id);
    entry.connected.add(id);
    const count = (by: number) => entry.outstanding.set(id, (entry.outstanding.get(id) ?? 0) + by);
    count(1);
    let status = 0;
    model.acceptRequest(
      { uid, sender: 'entry', fingerprint, isProbe: false, newConnection, serviceMs },
      {
        answered: (given) => {
          status = given;
        },
        ended: (end) => {
          count(-1);
          const mayRetry = end === 'notSent' || request.method === 'GET';
          if (end === 'complete') {
            const answer: CallerAnswer = { kind: 'answered', status, ofUid: uid };
            this.clock.after(this.oneWayMs, () => onAnswer(answer));
          } else if (mayRetry && tries < 1) {
            this.clock.after(1, () => this.forward(entry, request, onAnswer, tries + 1));
          } else {
            this.clock.after(this.oneWayMs, () => onAnswer({ kind: 'broken' }));
          }
        },
      },
    );
  }
}
