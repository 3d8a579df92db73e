import type { CallerAnswer, CallerRequest, Observation } from '../observations.js';
import type { CheckerContext, PromiseChecker } from './PromiseChecker.js';

/** Whole answers to the right caller; `not-run` only if true; nothing twice that may not be. */
export class AnswersChecker implements PromiseChecker {
  /** Requests that a target began to run, and how often. @internal */
  private readonly starts = new Map<string, number>();

  /** @internal */
  private readonly startsByKey = new Map<string, number>();

  /** @internal */
  private readonly keyOf = new Map<string, string | undefined>();

  /** @internal */
  private readonly writes = new Set<string>();

  /** @internal */
  private readonly toldNotRun = new Set<string>();

  /** @param context - Where to report. */
  constructor(private readonly context: CheckerContext) {}

  see(observation: Observation, at: number): void {
    if (observation.kind === 'callerSent') this.seeSent(observation.request);
    else if (observation.kind === 'targetStarted') {
      if (!observation.start.request.isProbe) this.seeStart(observation.start.request.uid, at);
    } else if (observation.kind === 'callerAnswered') {
      this.seeAnswer(observation.request, observation.answer, at);
      if (observation.answer.kind === 'gaveUp') {
        this.seeGaveUp(observation.request.uid, observation.vm, at - observation.tookMs, at);
      }
    } else if (observation.kind === 'answeredTwice') {
      this.context.report('whole-answers', at, `${observation.uid} got a second answer`);
    }
  }

  /** @internal */
  private seeSent(request: CallerRequest): void {
    if (request.key !== undefined) this.keyOf.set(request.uid, request.key);
    if (request.method !== 'GET') this.writes.add(request.uid);
  }

  /** @internal */
  private seeStart(uid: string, at: number): void {
    const { report } = this.context;
    const count = (this.starts.get(uid) ?? 0) + 1;
    this.starts.set(uid, count);
    if (this.toldNotRun.has(uid)) {
      report('not-run-is-true', at, `${uid} ran after its caller was told that it was not run`);
    }
    if (!this.writes.has(uid)) return;
    if (count > 1) report('at-most-once', at, `${uid} ran ${count} times`);
    const key = this.keyOf.get(uid);
    if (key === undefined) return;
    const byKey = (this.startsByKey.get(key) ?? 0) + 1;
    this.startsByKey.set(key, byKey);
    if (byKey > 1) report('at-most-once', at, `key ${key} ran ${byKey} times, now as ${uid}`);
  }

  /** @internal */
  private seeAnswer(request: CallerRequest, answer: CallerAnswer, at: number) {
    const { report } = this.context;
    const { uid } = request;
    if (answer.kind === 'answered' && answer.ofUid !== uid) {
      report('whole-answers', at, `${uid} got the answer to ${answer.ofUid}`);
    } else if (answer.kind === 'replayed' && this.keyOf.get(answer.ofUid) !== request.key) {
      report('whole-answers', at, `${uid} got the kept answer to ${answer.ofUid}`);
    } else if (answer.kind === 'own' && answer.outcome === 'not-run') {
      this.toldNotRun.add(uid);
      if (this.starts.has(uid)) {
        report('not-run-is-true', at, `${uid} had run when its caller was told it had not`);
      }
    }
  }

  /** A process that ran all the time answers each request by its deadline. @internal */
  private seeGaveUp(uid: string, id: string, sentAt: number, at: number): void {
    const vm = this.context.fleet.vms.get(id);
    if (vm === undefined || vm.life !== 'running' || vm.resumedAt >= sentAt) return;
    this.context.report('whole-answers', at, `${uid} was never answered by ${id}, which ran`);
  }
}
