import { FleetScene } from './FleetScene.js';

/**
 * Prints the calls of 19 VMs to a stand-in store in 40 s by kind: of a quiet store, with a change
 * every four seconds, and with the first watcher killed.
 */
const VMS = 19;
const DURATION_MS = 40_000;
const CHANGE_INTERVAL_MS = 4_000;

interface Run {
  readonly changes: boolean;
  readonly kill: boolean;
}

async function measure(title: string, { changes, kill }: Run): Promise<void> {
  const scene = await FleetScene.start(VMS);
  const started = scene.callCount;
  const times: number[] = [];
  const endsAt = Date.now() + DURATION_MS;
  const killAt = Date.now() + DURATION_MS / 4;
  let isKilled = false;
  while (Date.now() < endsAt) {
    if (kill && !isKilled && Date.now() > killAt) {
      isKilled = true;
      scene.vms[0].kill();
    }
    const pauseAt = Date.now();
    if (changes) times.push(Math.round(await scene.publish(scene.vms.slice(isKilled ? 1 : 0))));
    const pauseMs = pauseAt + CHANGE_INTERVAL_MS - Date.now();
    await new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, Math.min(pauseMs, endsAt - Date.now())));
    });
  }
  const calls = Object.fromEntries([...scene.calls].sort());
  const total = scene.callCount;
  const longestMs = Math.max(0, ...times);
  console.log(JSON.stringify({ title, total, started, longestMs, calls }));
  await scene.stop();
}

await Promise.all([
  measure('quiet', { changes: false, kill: false }),
  measure('changes', { changes: true, kill: false }),
  measure('first watcher killed', { changes: true, kill: true }),
]);
process.exit(0);
