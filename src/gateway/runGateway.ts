import { statSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

import { readGatewaySettings } from '../config/readGatewaySettings.js';
import { EventLog, writeStandardOutput } from '../logging/EventLog.js';
import { SystemClock } from '../timing/SystemClock.js';
import { GatewayProcess } from './GatewayProcess.js';

/** How often the settings file is looked at: it may change without a signal, in milliseconds. */
const LOOK_MS = 1_000;

/** How long the last lines of the log may take, in milliseconds. */
const FLUSH_MS = 100;

function getChangedAt(path: string): number {
  return statSync(path).mtimeMs;
}

/** Takes the settings again on SIGHUP, and when the file has changed without a signal. */
function watchSettings(path: string, gateway: GatewayProcess, log: EventLog): void {
  let changedAt = getChangedAt(path);
  const reload = (): void => {
    try {
      changedAt = getChangedAt(path);
      gateway.reload(readGatewaySettings(path));
    } catch (err) {
      // The settings in force stay so; an operator finds the reason here.
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
  }, LOOK_MS).unref();
}

/**
 * Runs a gateway until SIGTERM; resolves once its planned stop is over.
 * @param path - Its settings file.
 * @throws ConfigProblemsError naming every problem of the file.
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
  // A fault in the handling of one connection must not end the requests of all others.
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
  await log.flush(FLUSH_MS);
}
