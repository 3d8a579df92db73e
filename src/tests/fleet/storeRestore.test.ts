import type { ExecutionContext } from 'ava';
import test from 'ava';

import { getRolloutState, putRollout } from '../../platform/standIn/index.js';
import type { RestoreOptions } from './RestoreScene.js';
import { RestoreScene } from './RestoreScene.js';

const PLAYS: Readonly<Record<string, RestoreOptions>> = {
  'after an absence': { awayMs: 300 },
  'without an absence': {},
  'after a short absence, with its revisions given out again': {
    awayMs: 40,
    hasReusedRevisions: true,
  },
  'without an absence, with its revisions given out again': { hasReusedRevisions: true },
};

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function startScene(t: ExecutionContext): Promise<RestoreScene> {
  const scene = new RestoreScene();
  t.teardown(() => scene.stop());
  await scene.start();
  return scene;
}

for (const [name, options] of Object.entries(PLAYS)) {
  // A VM that compares revisions across a restore ignores changes until the numbers pass its own.
  test(`changes are applied when the store is restored ${name}`, async (t) => {
    const scene = await startScene(t);
    let hasUndone = false;
    const writeAgain = await scene.loseChanges(
      () => {
        scene.publish(2);
        scene.drain('t-1');
      },
      (view) => view.table?.version === 2 && view.targets.get('t-1')?.isDraining === true,
      options,
      () => {
        scene.publish(3);
        scene.drain('t-2');
      },
    );
    scene.onChange = ({ table, targets }) => {
      hasUndone ||= table?.version === 1 || targets.get('t-1')?.isDraining === false;
    };
    await wait(100);
    writeAgain();
    await scene.waitForAll(
      ({ table, targets }) =>
        table?.version === 3 && ['t-1', 't-2'].every((id) => targets.get(id)?.isDraining === true),
    );
    t.false(hasUndone);
  });
}

// What the copy lacks is written again within seconds, and callers would notice the gap.
test('targets and zones out that a copy lacks are kept until they are written again', async (t) => {
  const scene = await startScene(t);
  const writeAgain = await scene.loseChanges(
    () => {
      scene.addTarget('t-9');
      scene.takeOut('phare');
    },
    ({ targets, zonesOut }) => targets.has('t-9') && zonesOut.has('phare'),
  );
  let hasLost = false;
  scene.onChange = ({ targets, zonesOut }) => {
    hasLost ||= !targets.has('t-9') || !zonesOut.has('phare');
  };
  await wait(1_500);
  writeAgain();
  await wait(3_000);
  t.false(hasLost);
  scene.remove('servers', 't-9');
  scene.remove('evacuations', 'phare');
  await scene.waitForAll(({ targets, zonesOut }) => !targets.has('t-9') && zonesOut.size === 0);
});

// A target that ended, or a zone that is back, must not be remembered for ever.
test('targets and zones out that a copy lacks are gone if they are not written again', async (t) => {
  const scene = await startScene(t);
  await scene.loseChanges(
    () => {
      scene.addTarget('t-9');
      scene.takeOut('phare');
    },
    ({ targets, zonesOut }) => targets.has('t-9') && zonesOut.has('phare'),
  );
  await scene.waitForAll(({ targets, zonesOut }) => !targets.has('t-9') && zonesOut.size === 0);
  t.pass();
});

// Other VMs would give its address to no caller once the store has forgotten the announcement.
test('a VM announces itself again when a copy lacks its announcement', async (t) => {
  const scene = await startScene(t);
  const hasAnnouncement = () => scene.store.getSpec('entry-vms', scene.self.name) !== undefined;
  t.true(hasAnnouncement());
  let isAlwaysListed = true;
  scene.onChange = ({ vms }) => {
    isAlwaysListed &&= vms.has(scene.self.name);
  };
  const copy = scene.store.copy();
  copy.objectsByKind.get('entry-vms')?.delete(scene.self.name);
  scene.store.restore(copy);
  t.false(hasAnnouncement());
  // The list of VMs is watched for up to five seconds at a time.
  for (let i = 0; i < 2 && !hasAnnouncement(); i++) {
    await scene.waitForAll(hasAnnouncement).catch(() => {});
  }
  t.true(hasAnnouncement());
  t.true(isAlwaysListed);
});

// Old targets stop once a rollout is completed; to start it again would send requests to them.
test('a rollout that was completed stays completed when the store forgets its state', async (t) => {
  const scene = await startScene(t);
  const { store } = scene;
  putRollout(store, 'horaires', 'v2', 10_000);
  const spec = store.getSpec('rollouts', 'horaires');
  const getOrder = ({ rollouts }: (typeof scene.views)[number]) => rollouts.get('horaires');
  await scene.waitForAll((view) => getOrder(view) !== undefined);
  const id = getOrder(scene.watcherView)?.id;
  await scene.loseChanges(
    () => store.put('rollouts', 'horaires', spec, { state: 'completed', target_version: 'v2' }),
    (view) => getOrder(view)?.state === 'completed',
  );
  t.is(getRolloutState(store, 'horaires'), undefined);
  let isAlwaysCompleted = true;
  scene.onChange = (view) => {
    isAlwaysCompleted &&= getOrder(view)?.state === 'completed' && getOrder(view)?.id === id;
  };
  for (let i = 0; i < 60; i++) scene.writeOther();
  store.remove('rollouts', 'horaires');
  putRollout(store, 'horaires', 'v2', 10_000);
  await wait(4_000);
  t.true(isAlwaysCompleted);
});
