import type { StorePosition } from '../../core/model/index.js';

/** Position of a store at a revision, in its first epoch unless another one is given. */
export function at(revision: number, epoch = 1): StorePosition {
  return { epoch, revision };
}
