import { getAddresses } from '../core/index.js';
import type { OnAnswer } from './callerPort.js';
import { sendFromCaller } from './callerPort.js';
import type { CallerRequest } from './observations.js';
import type { VirtualFleet } from './VirtualFleet.js';
import type { VirtualVm } from './VirtualVm.js';

interface KnownAddresses {
  readonly addresses: readonly string[];
  readonly until: number;
}

const MOST_TRIES = 3;

/** Callers that ask for addresses, keep the answer while it is good, and connect there. */
export class VirtualCallers {
  /** @internal */
  private readonly known = new Map<string, KnownAddresses>();

  /** @param fleet - The fleet that they call. */
  constructor(private readonly fleet: VirtualFleet) {}

  /**
   * Sends a request to the first address the caller knows; to the next if nothing listens there.
   * @param asked - The request.
   * @param onAnswer - Hears what the caller saw in the end.
   */
  send(asked: CallerRequest, onAnswer: OnAnswer): void {
    this.sendTo(asked, onAnswer, this.getKnown(asked), 0);
  }

  /** @internal */
  private sendTo(
    asked: CallerRequest,
    onAnswer: OnAnswer,
    addresses: readonly string[],
    tries: number,
  ): void {
    const vm = this.findVm(addresses[tries % Math.max(1, addresses.length)]);
    if (vm === undefined) {
      onAnswer({ kind: 'refused' });
      return;
    }
    sendFromCaller(this.fleet, vm, asked, (answer) => {
      // An address where nothing answers is a reason to ask anew before the next request.
      if (answer.kind === 'refused') this.known.delete(`${asked.service}|${asked.caller}`);
      if (answer.kind === 'refused' && tries + 1 < MOST_TRIES) {
        this.sendTo(asked, onAnswer, addresses, tries + 1);
      } else {
        onAnswer(answer);
      }
    });
  }

  /** @internal */
  private getKnown(asked: CallerRequest): readonly string[] {
    const name = `${asked.service}|${asked.caller}`;
    const now = this.fleet.clock.now();
    const known = this.known.get(name);
    if (known !== undefined && now < known.until) return known.addresses;
    const vm = this.pickVm();
    const question = { service: asked.service, zone: asked.zone };
    const answer =
      vm === undefined ? undefined : getAddresses(vm.state, question, this.fleet.random);
    if (answer === undefined || answer.addresses.length === 0) return known?.addresses ?? [];
    this.known.set(name, { addresses: answer.addresses, until: now + answer.ttlMs });
    return answer.addresses;
  }

  /** An entry VM that answers now. @internal */
  private pickVm(): VirtualVm | undefined {
    const running = [...this.fleet.current.values()].filter((vm) => vm.life === 'running');
    return running[Math.floor(this.fleet.random() * running.length)];
  }

  /** @internal */
  private findVm(address: string | undefined): VirtualVm | undefined {
    for (const vm of this.fleet.current.values()) {
      if (vm.options.member.address === address) return vm;
    }
    return undefined;
  }
}
