import type { PeerMessage } from '../core/index.js';
import { PeerClient, PeerServer } from '../peers/index.js';
import { CountingRelay } from './CountingRelay.js';
import { fitLine } from './fitLine.js';
import { getMessageBytes } from './meters.js';
import { makeMember } from './sizedFleet.js';
import type { Slope } from './Slope.js';

const SERVICE_COUNTS = [1, 10, 40, 100] as const;
const MESSAGES = 100;
/** The cheapest of so many batches counts, once the others have warmed the code up. */
const BATCHES = 12;
const LOOPBACK = '127.0.0.1';

function makeHeartbeat(services: number): PeerMessage {
  return {
    kind: 'heartbeat',
    appliedEpoch: 1_000,
    generation: 5_000,
    leaseRemainingMs: 2_345.678,
    leaseVersion: 100_000,
    leaving: false,
    sequence: 10_000,
    echo: 10_000,
    confirmedAgoMs: 123.456,
    spares: Array.from({ length: services }, (_, index) => ({
      service: `service-${index}`,
      slots: 3,
      queued: 0,
      limit: 12,
    })),
  };
}

interface WireCost {
  readonly messageBytes: number;
  /** Both ways, with all framing above TCP. */
  readonly wireBytes: number;
  /** Of sender and receiver together. */
  readonly microseconds: number;
}

async function sendAll(message: PeerMessage): Promise<WireCost> {
  const receiver = makeMember(1, 1).id;
  let heard = 0;
  let onAll = (): void => {};
  let onLost = (_error: Error): void => {};
  const server = await PeerServer.start({ self: receiver, host: LOOPBACK, port: 0 });
  server.onMessage = () => {
    heard += 1;
    if (heard % MESSAGES === 0) onAll();
  };
  server.onForward = (_, call) => call.end();
  const relay = await CountingRelay.start(Number(server.address.split(':')[1]));
  const client = new PeerClient({
    self: makeMember(0, 1).id,
    onFailed: (_, reason) => onLost(new Error(`a message was ${reason}`)),
  });
  const sendBatch = async (): Promise<void> => {
    const all = new Promise<void>((resolve, reject) => {
      onAll = resolve;
      onLost = reject;
    });
    for (let i = 0; i < MESSAGES; i++) client.send(receiver, relay.address, message);
    await all;
  };
  const before = relay.sent + relay.received;
  let microseconds = Number.POSITIVE_INFINITY;
  for (let batch = 0; batch < BATCHES; batch++) {
    const processor = process.cpuUsage();
    await sendBatch();
    const { user, system } = process.cpuUsage(processor);
    microseconds = Math.min(microseconds, (user + system) / MESSAGES);
  }
  const wireBytes = (relay.sent + relay.received - before) / (MESSAGES * BATCHES);
  client.close();
  relay.stop();
  server.close();
  return { messageBytes: getMessageBytes(message), wireBytes, microseconds };
}

/** What a message between entry VMs costs on the wire and in processor time, over real sockets. */
export async function measurePeerWire(): Promise<Slope[]> {
  const bytes: { size: number; cost: number }[] = [];
  const time: { size: number; cost: number }[] = [];
  for (const services of SERVICE_COUNTS) {
    const cost = await sendAll(makeHeartbeat(services));
    bytes.push({ size: cost.messageBytes, cost: cost.wireBytes });
    time.push({ size: cost.messageBytes, cost: cost.microseconds });
  }
  const name = { role: 'peerExchange', per: 'bytes of the message' } as const;
  return [
    {
      ...name,
      what: 'a message and its acknowledgement on the wire',
      unit: 'bytes sent',
      points: bytes,
      line: fitLine(bytes),
    },
    {
      ...name,
      what: 'sending and taking a message, with a relay between',
      unit: 'µs of processor',
      points: time,
      line: fitLine(time),
    },
  ];
}
