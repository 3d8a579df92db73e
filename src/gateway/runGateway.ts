import { statSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

import { readGatewaySettings } from '../config/readGatewaySettings.js';
import { EventLog, writeStandardOutput } from '../logging/EventLog.js';
import { SystemClock } from '../timing/SystemClock.js';
import { GatewayProcess } from './GatewayProcess.js';

/**
 * Interval at which the settings file is checked for changes, in milliseconds; it may change
 * without a signal.
 */
const SETTINGS_POLL_MS = 1_000;

/** Time limit for writing the last log lines, in milliseconds. */
const LOG_FLUSH_TIMEOUT_MS = 100;

function getModifiedAt(path: string): number {
  return statSync(path).mtimeMs;
}

/** Reloads the settings on SIGHUP and when the file has changed without a signal. */
function watchSettings(path: string, gateway: GatewayProcess, log: EventLog): void {
  let modifiedAt = getModifiedAt(path);
  const reload = (): void => {
    try {
      modifiedAt = getModifiedAt(path);
      gateway.reload(readGatewaySettings(path));
    } catch (err) {
      // The current settings stay in force; the log tells the operator why.
      log.write('process.reloadFailed', { message: (err as Error).message });
    }
  };
  process.on('SIGHUP', reload);
  setInterval(() => {
    try {
      if (getModifiedAt(path) !== modifiedAt) reload();
    } catch (err) {
      log.write('process.reloadFailed', { message: (err as Error).message });
    }
  }, SETTINGS_POLL_MS).unref();
}

/**
 * Runs a gateway until SIGTERM; resolves when its planned stop is complete.
 * @param path - Path of the settings file.
 * @throws ConfigProblemsError listing every problem of the file.
 * @throws StartError if an address cannot be listened on.
 * @example
 * await runGateway('/etc/masticlink/node.ini');
 */
export async function runGateway(path: string): Promise<void> {
  const settings = readGatewaySettings(path);
  const clock = new SystemClock();
  const log = new EventLog(settings.self.name, {
    write: writeStandardOutput,
    now: () => performance.now(),
    wallNow: () => Date.now(),
  });
  // An exception in the handling of one connection must not abort the requests of all others.
  process.on('uncaughtException', (err) =>
    log.write('process.fault', { message: err.message, stack: err.stack }),
  );
  const gateway = new GatewayProcess({ settings, clock, log, random: Math.random });
  const stopped = new Promise<void>((resolve) => {
    process.on('SIGTERM', () => {
      gateway.stop().then(resolve);
    });
  });
  await gateway.start();
  watchSettings(path, gateway, log);
  await stopped;
  await log.flush(LOG_FLUSH_TIMEOUT_MS);
}
