import type { Assignment, ConfigRoot, LeaseRecord } from '../../core/index.js';
import { AdminClient, ASSIGNMENT_KEY, ROOT_KEY } from '../../publish/index.js';
import { renderTable } from '../../report/index.js';
import type { StoreCaller } from '../../store/StoreCaller.js';
import type { Command } from '../Command.js';
import { JSON_OPTION, STORE_OPTIONS, TOKEN_OPTION } from '../Command.js';
import type { CommandIo } from '../CommandIo.js';
import { createCliError } from '../errors.js';
import { EXIT_CODES } from '../exitCodes.js';
import { withStore } from '../storeAccess.js';

const MEMBERS_PREFIX = 'fleet/members/';

/** Status of one entry VM according to the store and, with a token, to the VM itself. */
interface EntryStatus {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly appliedEpoch?: number;
  /** Generation in force on the VM: its own answer, or without a token the value in its lease. */
  readonly generation?: number;
  readonly state: 'in' | 'leaving' | 'no lease' | 'no answer';
}

interface FleetStatus {
  readonly generation: number;
  readonly zones: ConfigRoot['zones'];
  readonly services: readonly string[];
  readonly epoch: number;
  readonly entryVms: readonly EntryStatus[];
}

async function readValue<T>(store: StoreCaller, key: string): Promise<T | undefined> {
  const result = await store.call({ op: 'get', key });
  if (result.kind === 'found') return result.entry.value as T;
  if (result.kind === 'missing') return undefined;
  throw createCliError('the store does not answer; try again later');
}

async function readLeases(store: StoreCaller): Promise<Map<string, LeaseRecord>> {
  const result = await store.call({ op: 'list', prefix: MEMBERS_PREFIX });
  if (result.kind !== 'listed') throw createCliError('the store does not answer; try again later');
  return new Map(
    result.entries.map(({ key, value }) => [
      key.slice(MEMBERS_PREFIX.length),
      value as LeaseRecord,
    ]),
  );
}

function getState(lease: LeaseRecord | undefined): EntryStatus['state'] {
  if (!lease) return 'no lease';
  return lease.leaving ? 'leaving' : 'in';
}

async function readStatus(
  store: StoreCaller,
  admin: AdminClient | undefined,
): Promise<FleetStatus> {
  const root = await readValue<ConfigRoot>(store, ROOT_KEY);
  const assignment = await readValue<Assignment>(store, ASSIGNMENT_KEY);
  const leases = await readLeases(store);
  const entryVms = (assignment?.members ?? []).map(async ({ id, zone, address }) => {
    const lease = leases.get(id);
    const generationInForce = admin ? await admin.getGeneration(address) : lease?.generation;
    const state =
      admin && generationInForce === undefined ? ('no answer' as const) : getState(lease);
    return {
      id,
      zone,
      address,
      appliedEpoch: lease?.appliedEpoch,
      generation: generationInForce,
      state,
    };
  });
  return {
    generation: root?.generation ?? 0,
    zones: root?.zones ?? [],
    services: Object.keys(root?.services ?? {}).sort(),
    epoch: assignment?.epoch ?? 0,
    entryVms: await Promise.all(entryVms),
  };
}

function printStatus(status: FleetStatus, io: CommandIo): void {
  const zones = status.zones.map(({ name, state }) => `${name} ${state}`).join(', ');
  io.out(`Configuration: generation ${status.generation}`);
  io.out(`Zones: ${zones || 'none'}`);
  io.out(`Services: ${status.services.join(', ') || 'none'}`);
  io.out(`Assignment: epoch ${status.epoch}, ${status.entryVms.length} entry VMs`);
  if (status.entryVms.length === 0) return;
  const rows = status.entryVms.map((vm) => [
    vm.id,
    vm.zone,
    vm.address,
    String(vm.appliedEpoch ?? '-'),
    String(vm.generation ?? '-'),
    vm.state,
  ]);
  io.out(renderTable([['entry VM', 'zone', 'address', 'epoch', 'generation', 'state'], ...rows]));
}

/** Shows the state of the fleet. */
export const statusCommand: Command = {
  name: 'status',
  args: [],
  description: 'Show the configuration in force and the entry VMs.',
  options: [
    ...STORE_OPTIONS,
    { ...TOKEN_OPTION, description: 'Ask each entry VM itself; MASTICLINK_TOKEN if left out' },
    JSON_OPTION,
  ],
  examples: ['status --store http://10.0.0.5:7000'],
  async run(args, io) {
    const token = args.getText('token', io.env.MASTICLINK_TOKEN);
    const admin = token === undefined ? undefined : new AdminClient(token);
    try {
      const status = await withStore(args, io, (store) => readStatus(store, admin));
      if (args.has('json')) io.out(JSON.stringify(status));
      else printStatus(status, io);
      return EXIT_CODES.ok;
    } finally {
      await admin?.close();
    }
  },
};
