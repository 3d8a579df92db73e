import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';

import type { CallSpec } from './DemoSpec.js';
import { wait } from './DemoFleet.js';
import type { Observations, SendingEnd } from './Observations.js';

/** What the callers of one deployment send, and whom they first ask for addresses. */
export interface DemoCallersOptions {
  readonly calls: readonly CallSpec[];
  /** Entry VMs that callers know from their own settings. */
  readonly known: readonly string[];
  readonly observed: Observations;
}

interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly until: number;
}

/** How one request ended for its caller, all sendings together. */
export interface CallerTotals {
  sent: number;
  whole: number;
  refused: number;
  failed: number;
  readonly latencies: number[];
}

const TICK_MS = 10;

const MAX_SENDINGS = 4;

const MAX_OUTSTANDING = 300;

const PAUSE_MS = 60;

/** How a caller sees what went wrong with a connection. */
function classifyError(err: unknown): SendingEnd {
  const { code, syscall } = err as { code?: string; syscall?: string };
  const isConnect = code === 'UND_ERR_CONNECT_TIMEOUT' || syscall === 'connect';
  return code === 'ECONNREFUSED' || isConnect ? 'no-connection' : 'cut';
}

/** Callers as they should be: they keep address answers for their time and follow the outcomes. */
export class DemoCallers {
  readonly totals: CallerTotals = { sent: 0, whole: 0, refused: 0, failed: 0, latencies: [] };

  /** @internal */
  private readonly agent = new Agent({ connections: 64 });

  /** @internal */
  private readonly answers = new Map<string, AddressAnswer>();

  /** @internal */
  private readonly outstanding = new Set<Promise<void>>();

  /** @internal */
  private readonly due = new Map<CallSpec, number>();

  /** @internal */
  private timer?: NodeJS.Timeout;

  /** @internal */
  private count = 0;

  /** @param options - What they send. */
  constructor(private readonly options: DemoCallersOptions) {}

  /** Begins to send, at the rates of the calls, whatever becomes of earlier requests. */
  start(): void {
    let last = performance.now();
    this.timer = setInterval(() => {
      const now = performance.now();
      for (const call of this.options.calls) this.sendDue(call, now - last);
      last = now;
    }, TICK_MS);
  }

  /** Sends nothing more and waits for what is outstanding. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.outstanding);
    await this.agent.destroy();
  }

  /** @internal */
  private sendDue(call: CallSpec, elapsedMs: number): void {
    let due = (this.due.get(call) ?? 0) + (call.rate * elapsedMs) / 1_000;
    for (; due >= 1; due -= 1) {
      if (this.outstanding.size >= MAX_OUTSTANDING) continue;
      const sending = this.call(call).finally(() => this.outstanding.delete(sending));
      this.outstanding.add(sending);
    }
    this.due.set(call, due);
  }

  /** Sends one request until it is answered, as often as its caller may. @internal */
  private async call(call: CallSpec): Promise<void> {
    this.count += 1;
    const name = `${call.service}-${this.count}`;
    const { totals } = this;
    totals.sent += 1;
    const begin = performance.now();
    let end: SendingEnd = 'no-connection';
    for (let sending = 0; sending < MAX_SENDINGS; sending += 1) {
      if (sending > 0) await wait(PAUSE_MS * sending);
      const address = await this.getAddress(call.service, sending);
      end = await this.send(call, name, sending, address);
      if (end === 'whole') break;
      if (end === 'no-connection' || end === 'cut') this.answers.delete(call.service);
    }
    if (end === 'whole') {
      totals.whole += 1;
      totals.latencies.push(performance.now() - begin);
    } else if (end === 'not-run') totals.refused += 1;
    else totals.failed += 1;
  }

  /** @internal */
  private async send(
    call: CallSpec,
    name: string,
    sending: number,
    address: string,
  ): Promise<SendingEnd> {
    const { observed } = this.options;
    const uid = `${name}.${sending}`;
    const sentAt = performance.now();
    let end: SendingEnd;
    try {
      const res = await this.request(call, name, uid, address);
      end = await this.classify(call, name, uid, res);
    } catch (err) {
      end = classifyError(err);
    }
    const { service } = call;
    observed.sendings.push({ uid, service, end, address, sentAt, endedAt: performance.now() });
    return end;
  }

  /** @internal */
  private request(call: CallSpec, name: string, uid: string, address: string) {
    const isKeyed = call.method === 'POST';
    return request(`http://${address}/demo/${call.service}`, {
      method: call.method,
      dispatcher: this.agent,
      headers: {
        host: call.service,
        'x-request-id': uid,
        'masticlink-caller': `caller-${this.count % 8}`,
        'masticlink-deadline-ms': '4000',
        ...(isKeyed ? { 'idempotency-key': name, 'content-type': 'text/plain' } : {}),
      },
      // A keyed request is the same each time it is sent; its answer is its body.
      body: isKeyed ? `order ${name}` : undefined,
      signal: AbortSignal.timeout(6_000),
    });
  }

  /** @internal */
  private async classify(
    call: CallSpec,
    name: string,
    uid: string,
    res: Dispatcher.ResponseData,
  ): Promise<SendingEnd> {
    const body = await res.body.text();
    const outcome = res.headers['masticlink-outcome'];
    if (outcome === 'not-run') return 'not-run';
    if (outcome !== undefined || res.statusCode !== 200) return 'unknown';
    if (call.method === 'POST') return body === `order ${name}` ? 'whole' : 'wrong';
    try {
      return (JSON.parse(body) as { uid: string }).uid === uid ? 'whole' : 'wrong';
    } catch {
      return 'wrong';
    }
  }

  /** Gives the address to use, from the answer that is kept for its time. @internal */
  private async getAddress(service: string, sending: number): Promise<string> {
    const kept = this.answers.get(service);
    const answer =
      kept && performance.now() < kept.until ? kept : ((await this.ask(service)) ?? kept);
    const { known } = this.options;
    const addresses = answer && answer.addresses.length > 0 ? answer.addresses : known;
    return addresses[sending % addresses.length];
  }

  /** @internal */
  private async ask(service: string): Promise<AddressAnswer | undefined> {
    const { known, observed } = this.options;
    const first = Math.floor(Math.random() * known.length);
    for (let i = 0; i < known.length; i += 1) {
      const address = known[(first + i) % known.length];
      try {
        const res = await request(`http://${address}/v1/addresses?service=${service}`, {
          dispatcher: this.agent,
          signal: AbortSignal.timeout(1_000),
        });
        const body = (await res.body.json()) as Partial<{
          addresses: string[];
          ttlMs: number;
          generation: number;
        }>;
        if (body.addresses === undefined || body.ttlMs === undefined) continue;
        observed.noteGeneration(address, body.generation ?? 0);
        const answer = { addresses: body.addresses, until: performance.now() + body.ttlMs };
        this.answers.set(service, answer);
        return answer;
      } catch {
        // An entry VM that does not answer is passed over; the next one is asked.
      }
    }
    return undefined;
  }
}
