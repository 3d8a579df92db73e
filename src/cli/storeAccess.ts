import { StoreClient } from '../store/index.js';

import type { Arguments } from './Arguments.js';
import type { CommandIo } from './CommandIo.js';
import { createUsageError } from './errors.js';

/** Longer than the default of entry processes, so that one slow answer does not fail a command. */
const STORE_TIMEOUT_MS = 3_000;

/**
 * Runs an action with a client of the store given by `--store` or the environment.
 * @param args - Arguments of the command.
 * @param io - Provides the environment.
 * @param action - Action to run; the client is closed afterwards.
 * @throws UsageError if no store or an invalid URL is given.
 */
export async function withStore<T>(
  args: Arguments,
  io: CommandIo,
  action: (store: StoreClient) => Promise<T>,
): Promise<T> {
  const url = args.getTextOrThrow('store', io.env.MASTICLINK_STORE);
  if (!URL.canParse(url) || !/^https?:/.test(url)) {
    throw createUsageError(`--store ${url}: expected a URL such as http://10.0.0.5:7000`);
  }
  const store = new StoreClient({ url, timeoutMs: STORE_TIMEOUT_MS });
  try {
    return await action(store);
  } finally {
    await store.close();
  }
}

/**
 * Waits for a given time.
 * @param ms - Duration in milliseconds.
 */
export function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
