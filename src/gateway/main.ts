import { statSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

import { readGatewaySettings } from '../config/readGatewaySettings.js';
import { EventLog, writeStandardOutput } from '../logging/EventLog.js';
import { SystemClock } from '../timing/index.js';
import { GatewayProcess } from './GatewayProcess.js';

/** Where the settings file lies if the environment names no other. */
const DEFAULT_PATH = '/etc/masticlink/node.ini';

/** How often the settings file is looked at: it may change without a signal, in milliseconds. */
const LOOK_MS = 1_000;

const FLUSH_MS = 100;

function getChangedAt(path: string): number {
  return statSync(path).mtimeMs;
}

/** Runs a gateway until SIGTERM. */
async function main(): Promise<void> {
  const path = process.env.MASTICLINK_CONFIG ?? DEFAULT_PATH;
  const settings = readGatewaySettings(path);
  const clock = new SystemClock();
  const log = new EventLog(settings.self.name, {
    write: writeStandardOutput,
    now: () => performance.now(),
    wallNow: () => Date.now(),
  });
  // A fault in the handling of one connection must not end the requests of all others.
  process.on('uncaughtException', (err) =>
    log.write('process.fault', { message: err.message, stack: err.stack }),
  );
  const gateway = new GatewayProcess({ settings, clock, log, random: Math.random });
  process.on('SIGTERM', () => {
    gateway.stop().then(async () => {
      await log.flush(FLUSH_MS);
      process.exit(0);
    });
  });
  let changedAt = getChangedAt(path);
  const reload = (): void => {
    try {
      changedAt = getChangedAt(path);
      gateway.reload(readGatewaySettings(path));
    } catch (err) {
      log.write('process.reloadFailed', { message: (err as Error).message });
    }
  };
  process.on('SIGHUP', reload);
  setInterval(() => {
    try {
      if (getChangedAt(path) !== changedAt) reload();
    } catch (err) {
      log.write('process.reloadFailed', { message: (err as Error).message });
    }
  }, LOOK_MS);
  await gateway.start();
}

main().catch((err: Error) => {
  process.stderr.write(`${err.message}\n`);
  process.exitCode = 1;
});
