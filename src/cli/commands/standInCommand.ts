import type { VmListEntry } from '../../core/index.js';
import { parseAddress } from '../../config/index.js';
import {
  startStoreServer,
  startTargetServer,
  startVmListServer,
} from '../../standIns/http/index.js';
import type { Arguments } from '../Arguments.js';
import type { Command } from '../Command.js';
import { createUsageError } from '../errors.js';
import { EXIT_CODES } from '../exitCodes.js';

/** A running stand-in server. */
interface RunningStandIn {
  readonly address: string;
  stop(): Promise<void>;
}

type Starter = (args: Arguments, listen: { host: string; port: number }) => Promise<RunningStandIn>;

function readVms(args: Arguments): VmListEntry[] {
  return args.getList('vm').map((text) => {
    const [name = '', zone = '', ip = '', service] = text.split(':');
    if (name === '' || zone === '' || ip === '') {
      throw createUsageError(`--vm ${text}: expected NAME:ZONE:IP or NAME:ZONE:IP:SERVICE`);
    }
    return { name, zone, ip, state: 'live', service };
  });
}

const STARTERS: Readonly<Record<string, Starter>> = {
  store: (_args, listen) => startStoreServer(listen),
  vms: (args, listen) => startVmListServer({ ...listen, vms: readVms(args) }),
  target(args, listen) {
    const slots = args.getInteger('slots', { min: 1, max: 1_000 }) ?? 2;
    const meanServiceMs = args.getInteger('service-ms', { min: 1, max: 60_000 }) ?? 20;
    const model = { id: `${listen.host}:${listen.port}`, slots, meanServiceMs };
    return startTargetServer({ ...listen, model });
  },
};

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => resolve());
  });
}

/** Runs stand-ins of the platform and of targets for manual tests. */
export const standInCommand: Command = {
  name: 'stand-in',
  args: ['store|vms|target'],
  description: 'Run a small stand-in for the store, the VM list or a target, on loopback.',
  options: [
    {
      name: 'listen',
      value: 'ADDRESS',
      description: 'IP number and port',
      default: '127.0.0.1:0',
    },
    { name: 'slots', value: 'COUNT', description: 'target: requests it runs at once; 2' },
    { name: 'service-ms', value: 'MS', description: 'target: mean service time; 20' },
    {
      name: 'vm',
      value: 'NAME:ZONE:IP[:SERVICE]',
      description: 'vms: one VM, may be repeated',
    },
  ],
  examples: ['stand-in store --listen 127.0.0.1:7001'],
  async run(args, io) {
    const [kind] = args.positional;
    const text = args.getTextOrThrow('listen');
    const listen = parseAddress(text);
    if (!listen) throw createUsageError(`--listen ${text}: expected IP:PORT, e.g. 127.0.0.1:7001`);
    if (!Object.hasOwn(STARTERS, kind)) {
      throw createUsageError(
        `stand-in ${kind}: expected one of ${Object.keys(STARTERS).join(', ')}`,
      );
    }
    const running = await STARTERS[kind](args, listen);
    io.out(`listening on ${running.address}`);
    await waitForSignal();
    await running.stop();
    return EXIT_CODES.ok;
  },
};
