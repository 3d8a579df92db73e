import { randomUUID } from 'node:crypto';

import { readConfigurationDir } from '../../config/index.js';
import type {
  PropagationProgress,
  PublicationPlan,
  PublicationResult,
} from '../../publish/index.js';
import {
  AdminClient,
  isEmptyPlan,
  Publisher,
  pushToEntryVms,
  readBaseFile,
  readEntryAddresses,
  waitUntilInForce,
  writeBaseFile,
} from '../../publish/index.js';
import type { StoreCaller } from '../../store/StoreCaller.js';
import type { Arguments } from '../Arguments.js';
import type { Command } from '../Command.js';
import { JSON_OPTION, STORE_OPTIONS, TOKEN_OPTION } from '../Command.js';
import type { CommandIo } from '../CommandIo.js';
import { createUsageError } from '../errors.js';
import { EXIT_CODES } from '../exitCodes.js';
import { wait, withStore } from '../storeAccess.js';

/** Attempts to call a store that does not answer; about ten seconds including the waits. */
const ATTEMPTS = 7;

const DEFAULT_WAIT_S = 10;

const MAX_GENERATION = 1_000_000_000;

function describePlan(plan: PublicationPlan): string[] {
  return [
    ...plan.zones,
    ...plan.added.map((name) => `service ${name} is added`),
    ...plan.changed.map((name) => `service ${name} changes`),
    ...plan.removed.map((name) => `service ${name} is removed`),
  ];
}

function getBase(args: Arguments, dir: string) {
  const generation = args.getInteger('base', { min: 0, max: MAX_GENERATION });
  return generation === undefined ? readBaseFile(dir) : { generation };
}

function getToken(args: Arguments, io: CommandIo): string | undefined {
  const token = args.getText('token', io.env.MASTICLINK_TOKEN);
  if (token === undefined && args.has('wait')) {
    throw createUsageError('--wait needs --token, to ask the entry VMs');
  }
  return token;
}

async function propagate(
  store: StoreCaller,
  result: PublicationResult,
  args: Arguments,
  io: CommandIo,
): Promise<PropagationProgress | undefined> {
  const token = getToken(args, io);
  if (token === undefined) return undefined;
  const named = args.getList('entry');
  const addresses = named.length > 0 ? named : await readEntryAddresses(store);
  const admin = new AdminClient(token);
  try {
    await pushToEntryVms(admin, addresses, result);
    const seconds = args.getInteger('timeout', { min: 1, max: 3_600 }) ?? DEFAULT_WAIT_S;
    return await waitUntilInForce(admin, {
      generation: result.root.generation,
      addresses,
      timeoutMs: args.has('wait') ? seconds * 1_000 : 0,
      wait,
      onProgress: ({ inForce, of }) => io.progress(`in force on ${inForce} of ${of} entry VMs`),
    });
  } finally {
    await admin.close();
  }
}

function printResult(
  result: PublicationResult,
  progress: PropagationProgress | undefined,
  args: Arguments,
  io: CommandIo,
): void {
  const { root, plan, written } = result;
  const changes = describePlan(plan);
  if (args.has('json')) {
    io.out(
      JSON.stringify({ accepted: true, generation: root.generation, written, changes, progress }),
    );
    return;
  }
  for (const change of changes) io.out(`  ${change}`);
  io.out(
    written
      ? `Generation ${root.generation} is accepted.`
      : `Nothing changes: generation ${root.generation} is already accepted.`,
  );
  if (!progress) return;
  if (progress.of === 0) {
    io.out('No entry VM is known yet; those that start will read it from the store.');
    return;
  }
  io.out(`It is in force on ${progress.inForce} of ${progress.of} entry VMs.`);
  if (args.has('wait')) for (const address of progress.missing) io.out(`  not on ${address}`);
}

async function publish(store: StoreCaller, args: Arguments, io: CommandIo) {
  const [dir] = args.positional;
  // Validates the command line before anything is written.
  getToken(args, io);
  const base = getBase(args, dir);
  const desired = readConfigurationDir(dir);
  const publisher = new Publisher({ store, attempts: ATTEMPTS, wait, createNonce: randomUUID });
  if (args.has('plan')) {
    const plan = await publisher.plan(desired);
    const changes = describePlan(plan);
    if (args.has('json')) io.out(JSON.stringify({ generation: plan.generation, changes }));
    else io.out(isEmptyPlan(plan) ? 'Nothing would change.' : changes.join('\n'));
    return EXIT_CODES.ok;
  }
  io.progress('writing to the store');
  const result = await publisher.publish(desired, base);
  writeBaseFile(dir, result.root);
  const progress = await propagate(store, result, args, io);
  printResult(result, progress, args, io);
  const isInForce = progress !== undefined && progress.of > 0 && progress.missing.length === 0;
  return args.has('wait') && !isInForce ? EXIT_CODES.notInForce : EXIT_CODES.ok;
}

/** Validates and publishes a configuration, and optionally waits until it is in force. */
export const publishCommand: Command = {
  name: 'publish',
  args: ['dir'],
  description: 'Check a directory and put it into force.',
  options: [
    ...STORE_OPTIONS,
    TOKEN_OPTION,
    {
      name: 'base',
      value: 'GENERATION',
      description: 'Generation that you have seen; DIR/.masticlink-base if left out',
    },
    {
      name: 'entry',
      value: 'ADDRESS',
      description: 'Entry VM to hand it to; those that the store names if left out',
    },
    { name: 'wait', description: 'Wait until it is in force on all entry VMs' },
    {
      name: 'timeout',
      value: 'SECONDS',
      description: `How long to wait; ${DEFAULT_WAIT_S} if left out`,
    },
    { name: 'plan', description: 'Say what would change and write nothing' },
    JSON_OPTION,
  ],
  examples: ['publish fleet --store http://10.0.0.5:7000 --token TOKEN --wait'],
  run: (args, io) => withStore(args, io, (store) => publish(store, args, io)),
};
