import type { Fault } from './faults.js';

const MIN_VARYING_MS = 2_000;
const MAX_VARYING_MS = 5_000;

/** Range of the share of the answers that targets send without a length or break off. */
const MIN_VARIED_SHARE = 0.4;
const MAX_VARIED_SHARE = 0.8;

/** Maximum share of the other answers that targets send twice meanwhile. */
const MAX_COPY_SHARE = 0.15;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Lets all targets send answers of each framing, break some of them off and send others twice. */
export const varyAnswers: Fault = async ({ world, random }) => {
  const draw = (min: number, max: number): number => min + random() * (max - min);
  const targets = [...world.targets];
  const copyShare = random() * MAX_COPY_SHARE;
  for (const { model } of targets) {
    model.varied.share = draw(MIN_VARIED_SHARE, MAX_VARIED_SHARE);
    model.copies.share = copyShare;
  }
  await wait(draw(MIN_VARYING_MS, MAX_VARYING_MS));
  for (const { model } of targets) {
    model.varied.share = 0;
    model.copies.share = 0;
  }
};
