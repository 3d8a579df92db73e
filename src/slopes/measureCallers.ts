import type { Socket } from 'node:net';
import { connect } from 'node:net';

import type { EntrySettings } from '../config/index.js';
import { EntryProcess } from '../entry/index.js';
import { startStoreServer, startVmListServer } from '../standIns/http/index.js';
import { fitLine } from './fitLine.js';
import { makeSizedSettings } from './sizedFleet.js';
import type { Slope } from './Slope.js';

const CONNECTION_COUNTS = [100, 200, 300] as const;
const LOOPBACK = '127.0.0.1';
/** A connection is put to use once, so that what a process keeps for it is there. */
const FIRST_REQUEST = `GET /healthz HTTP/1.1\r\nHost: ${LOOPBACK}\r\n\r\n`;

interface Platform {
  readonly storeUrl: string;
  readonly vmListUrl: string;
}

function makeSettings({ storeUrl, vmListUrl }: Platform): EntrySettings {
  return {
    core: makeSizedSettings(),
    listen: { host: LOOPBACK, port: 0 },
    peerListen: { host: LOOPBACK, port: 0 },
    storeUrl,
    storeTimeoutMs: 1_000,
    vmListUrl,
    vmListPeriodMs: 1_000,
    adminToken: 'token',
    bounds: {
      headerBytes: 16_384,
      bodyBytes: 1_048_576,
      replayBytes: 65_536,
      storedAnswerBytes: 16_384,
      callerConnections: 1_000,
    },
    log: { level: 'error', format: 'json' },
  };
}

function open(port: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, LOOPBACK, () => socket.write(FIRST_REQUEST));
    socket.once('data', () => resolve(socket));
    socket.once('error', reject);
  });
}

function getHeap(): number {
  const { gc } = globalThis;
  if (gc === undefined) throw new Error('memory is measured with node --expose-gc');
  gc();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

/** What callers' connections cost an entry process, over real sockets. */
export async function measureCallers(): Promise<Slope[]> {
  const store = await startStoreServer({ model: { answerMs: 0 } });
  const vmList = await startVmListServer({ lagMs: 0 });
  const platform = {
    storeUrl: `http://${store.address}`,
    vmListUrl: `http://${vmList.address}/vms`,
  };
  const entry = await EntryProcess.start(makeSettings(platform));
  const port = Number(entry.address.split(':')[1]);
  const sockets: Socket[] = [await open(port)];
  const points: { size: number; cost: number }[] = [];
  const before = getHeap();
  for (const count of CONNECTION_COUNTS) {
    while (sockets.length < count) sockets.push(await open(port));
    points.push({ size: count, cost: getHeap() - before });
  }
  for (const socket of sockets) socket.destroy();
  await entry.kill();
  await Promise.all([store.stop(), vmList.stop()]);
  const what = 'idle connections of callers, both ends';
  const name = { what, per: 'connections', unit: 'bytes of memory' } as const;
  return [{ role: 'callerFacing', ...name, points, line: fitLine(points) }];
}
