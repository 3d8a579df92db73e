import type { Fault } from './faults.js';

const MIN_COPYING_MS = 4_000;
const MAX_COPYING_MS = 10_000;

/** Range of the share of the targets that send copies. */
const MIN_TARGET_SHARE = 0.3;
const MAX_TARGET_SHARE = 1;

/** Range of the share of their answers that these targets send twice. */
const MIN_COPY_SHARE = 0.03;
const MAX_COPY_SHARE = 0.3;

/** Maximum share of the requests that all targets reject meanwhile. */
const MAX_REJECTED_SHARE = 0.6;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Lets targets send second copies of answers while all of them reject a share of the requests. */
export const copyAnswers: Fault = async ({ world, random }) => {
  const draw = (min: number, max: number): number => min + random() * (max - min);
  const targets = [...world.targets];
  const count = Math.ceil(targets.length * draw(MIN_TARGET_SHARE, MAX_TARGET_SHARE));
  const first = Math.floor(random() * targets.length);
  const copyShare = draw(MIN_COPY_SHARE, MAX_COPY_SHARE);
  const rejectedShare = random() * MAX_REJECTED_SHARE;
  for (const [i, { model }] of targets.entries()) {
    const isCopying = (i - first + targets.length) % targets.length < count;
    if (isCopying) model.copies.share = copyShare;
    model.rejectedShare = rejectedShare;
  }
  await wait(draw(MIN_COPYING_MS, MAX_COPYING_MS));
  for (const { model } of targets) {
    model.copies.share = 0;
    model.rejectedShare = 0;
  }
};
