import type { Observation } from '../observations.js';
import type { CheckerContext, PromiseChecker } from './PromiseChecker.js';

interface Sender {
  readonly vm: string;
  /** Epoch that the process acted under when it last sent. */
  epoch: number;
}

/**
 * Two processes never send to one target at once. An epoch has one holder for each target, so the
 * epochs under which a target is sent to never go back, and grow when the sender changes: a sending
 * by an earlier holder after the next one's first shows as an epoch that does not.
 *
 * The epoch is the sender's own, not the store's: a holder that has not heard of a later epoch goes
 * on rightly until its lease has lapsed, and the next one waits for that.
 */
export class HolderChecker implements PromiseChecker {
  /** @internal */
  private readonly senders = new Map<string, Sender>();

  /** @param context - Where to look and report. */
  constructor(private readonly context: CheckerContext) {}

  see(observation: Observation, at: number): void {
    if (observation.kind !== 'sentToTarget') return;
    const { vm, target } = observation;
    const epoch = this.context.fleet.vms.get(vm)?.state.fleet.assignment.epoch ?? 0;
    const last = this.senders.get(target);
    if (last?.vm === vm) {
      last.epoch = Math.max(last.epoch, epoch);
      return;
    }
    this.senders.set(target, { vm, epoch });
    if (last === undefined || epoch > last.epoch) return;
    const detail = `${target}: ${vm} sends under epoch ${epoch} after ${last.vm} under ${last.epoch}`;
    this.context.report('one-holder', at, detail);
  }
}
