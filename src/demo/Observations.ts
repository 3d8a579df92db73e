import type { TargetStart } from '../standIns/models/index.js';

/** A piece of work that a target began, and where. */
export interface ObservedStart {
  /** Monotonic milliseconds. */
  readonly at: number;
  readonly target: string;
  readonly zone: string;
  readonly uid: string;
  readonly key?: string;
  readonly isProbe: boolean;
  readonly cold: boolean;
  readonly held: number;
  readonly bears: number;
}

/** What a caller got for one sending of a request. */
export type SendingEnd =
  /** The whole answer to this very request. */
  | 'whole'
  /** A whole answer that is another request's, or was cut and shown as whole. */
  | 'wrong'
  /** Told that it was not run. */
  | 'not-run'
  /** Told that it may have run, or a status of the target's that is no success. */
  | 'unknown'
  /** The connection ended before the whole answer was there. */
  | 'cut'
  /** No connection came about. */
  | 'no-connection';

/** One sending of a request, as its caller saw it end. */
export interface ObservedSending {
  readonly uid: string;
  readonly service: string;
  readonly end: SendingEnd;
  /** Entry VM that it was sent to. */
  readonly address: string;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A time in which some targets may get no new work. */
export interface Closure {
  readonly kind: 'zone' | 'target';
  readonly name: string;
  readonly from: number;
  to: number;
}

/** A planned stop of an entry VM. */
export interface PlannedStop {
  readonly address: string;
  readonly from: number;
  to: number;
}

/** An accepted configuration, and how long it took until it was in force everywhere. */
export interface ObservedPublication {
  readonly generation: number;
  /** Undefined if it did not get there in the time allowed. */
  readonly inForceAfterMs?: number;
}

/** Slot time that probes took at one target. */
export interface ProbeUse {
  readonly target: string;
  readonly probeMs: number;
  readonly allowedMs: number;
}

/** Calls that the store counted in its busiest second, and what is allowed. */
export interface StoreUse {
  readonly writes: number;
  readonly reads: number;
  readonly allowedWrites: number;
  readonly allowedReads: number;
}

/** All that was seen from outside: at the stand-ins and by the callers. */
export class Observations {
  readonly starts: ObservedStart[] = [];

  readonly sendings: ObservedSending[] = [];

  readonly closures: Closure[] = [];

  readonly stops: PlannedStop[] = [];

  readonly publications: ObservedPublication[] = [];

  readonly probes: ProbeUse[] = [];

  /** Set once the run is over. */
  store: StoreUse = { writes: 0, reads: 0, allowedWrites: 0, allowedReads: 0 };

  /** Times a cold target fell over. */
  falls = 0;

  /** Times an entry VM told callers of an earlier generation than before. */
  reverts = 0;

  /** @internal */
  private readonly generations = new Map<string, number>();

  /**
   * Notes what a target began.
   * @param start - As the target tells it.
   * @param zone - The target's zone.
   */
  noteStart({ at, target, request, cold, held, bears }: TargetStart, zone: string): void {
    const { uid, key, isProbe } = request;
    this.starts.push({ at, target, zone, uid, key, isProbe, cold, held, bears });
  }

  /**
   * Notes the generation that an entry VM told a caller.
   * @param address - Entry VM.
   * @param generation - What it told.
   */
  noteGeneration(address: string, generation: number): void {
    const last = this.generations.get(address) ?? 0;
    if (generation < last) this.reverts += 1;
    this.generations.set(address, Math.max(last, generation));
  }
}
