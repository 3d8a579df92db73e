import type { ConfigRoot, ServiceObject, StoreResult } from '../core/index.js';
import type { StoreCaller } from '../store/StoreCaller.js';

import { collectGarbage } from './collectGarbage.js';
import {
  createStaleBaseError,
  createStoreUnavailableError,
  createUnknownOutcomeError,
} from './errors.js';
import { getServiceKey, ROOT_KEY } from './keys.js';
import type { DesiredConfiguration, PublicationPlan } from './planPublication.js';
import { createRoot, getChangedSince, isEmptyPlan, planPublication } from './planPublication.js';
import type { RetryOptions } from './RetryingStore.js';
import { RetryingStore } from './RetryingStore.js';

/** Publication that the operator's changes are based on. */
export interface PublicationBase {
  readonly generation: number;
  /** Nonce of that generation, if the base file has it; detects a base file of another fleet. */
  readonly nonce?: string;
}

/** Dependencies and retry policy of a publisher. */
export interface PublisherOptions extends RetryOptions {
  readonly store: StoreCaller;
  /** Creates a value that is unique to one publication. */
  createNonce(): string;
}

/** Result of an accepted publication. */
export interface PublicationResult {
  readonly root: ConfigRoot;
  readonly plan: PublicationPlan;
  /** False if the configuration was already accepted and nothing was written. */
  readonly written: boolean;
}

interface StoredRoot {
  readonly root?: ConfigRoot;
  readonly version: number;
}

function createWriteFailure(root: ConfigRoot, hasUnknownResult: boolean): Error {
  return hasUnknownResult
    ? createUnknownOutcomeError(root.generation)
    : createStoreUnavailableError('the configuration cannot be written');
}

function checkBase(root: ConfigRoot | undefined, base: PublicationBase | undefined): void {
  if (!root) return;
  if (base === undefined) throw createStaleBaseError(undefined, root.generation, []);
  const isOtherPublication = base.nonce !== undefined && base.nonce !== root.nonce;
  if (base.generation !== root.generation || isOtherPublication) {
    const changed = getChangedSince(root, base.generation);
    throw createStaleBaseError(base.generation, root.generation, changed);
  }
}

/**
 * Publishes a configuration: first the new service descriptions, then the root by a conditional write.
 * The configuration is accepted once the root is written. A publisher that read an older root is
 * refused.
 */
export class Publisher {
  /** @internal */
  private readonly store: RetryingStore;

  /**
   * @param options - Store, retry policy and source of nonces.
   * @example
   * const publisher = new Publisher({ store, attempts: 6, wait, createNonce: randomUUID });
   * const { root } = await publisher.publish(readConfigurationDir('fleet'), { generation: 7 });
   */
  constructor(private readonly options: PublisherOptions) {
    this.store = new RetryingStore(options.store, options);
  }

  /**
   * Computes what publishing would change, without writing anything.
   * @param desired - Configuration to publish.
   * @throws StoreUnavailableError if the configuration in force cannot be read.
   */
  async plan(desired: DesiredConfiguration): Promise<PublicationPlan> {
    return planPublication((await this.readRoot()).root, desired);
  }

  /**
   * Publishes a configuration.
   * @param desired - Configuration to publish.
   * @param base - Publication that the operator's changes are based on; undefined if unknown.
   * @throws StaleBaseError if another publication was accepted since the base.
   * @throws StoreUnavailableError if the store did not answer and nothing was accepted.
   * @throws UnknownOutcomeError if it is unknown whether the configuration was accepted.
   */
  async publish(desired: DesiredConfiguration, base?: PublicationBase): Promise<PublicationResult> {
    const stored = await this.readRoot();
    const plan = planPublication(stored.root, desired);
    if (stored.root && isEmptyPlan(plan)) return { root: stored.root, plan, written: false };
    checkBase(stored.root, base);
    for (const object of plan.newObjects) await this.writeObject(object);
    const root = createRoot(stored.root, plan, desired.zones, this.options.createNonce());
    await this.writeRoot(root, stored.version);
    await collectGarbage(this.store, root);
    return { root, plan, written: true };
  }

  /** @internal */
  private async readRoot(): Promise<StoredRoot> {
    const result = await this.store.read({ op: 'get', key: ROOT_KEY });
    if (result.kind === 'missing') return { version: 0 };
    if (result.kind !== 'found') {
      throw createStoreUnavailableError('the configuration in force cannot be read');
    }
    return { root: result.entry.value as ConfigRoot, version: result.entry.version };
  }

  /**
   * Writes a service description, even if an equal one exists, which marks it as used by this
   * generation. Otherwise another publisher could delete it as unused before this root is written, and
   * no entry VM could apply the configuration.
   * @internal
   */
  private async writeObject(object: ServiceObject): Promise<void> {
    const key = getServiceKey(object.service.name, object.hash);
    let expect = 0;
    for (let attempt = 1; ; attempt += 1) {
      const result = await this.store.write({ op: 'put', key, value: object, expect });
      if (result.kind === 'written') return;
      if (!this.store.canRetry(attempt)) {
        throw createStoreUnavailableError(`${object.service.name} cannot be written`);
      }
      if (result.kind === 'conflict') expect = result.version;
      else await this.store.wait(attempt, result);
    }
  }

  /** @internal */
  private async writeRoot(root: ConfigRoot, expect: number): Promise<void> {
    let hasUnknownResult = false;
    for (let attempt = 1; ; attempt += 1) {
      const result = await this.store.write({ op: 'put', key: ROOT_KEY, value: root, expect });
      if (result.kind === 'written') return;
      hasUnknownResult ||= result.kind === 'unknown';
      if (result.kind === 'conflict') {
        await this.resolveConflict(root, hasUnknownResult);
        return;
      }
      if (!this.store.canRetry(attempt)) throw createWriteFailure(root, hasUnknownResult);
      // Repeats the same conditional write. If the first one took effect, the second conflicts and the
      // nonce identifies the winner. If the first one still arrives late, it conflicts with the second.
      await this.store.wait(attempt, result);
    }
  }

  /**
   * Handles a root that changed since it was read: either by this publication, if the answer to an
   * earlier attempt was lost, or by another operator.
   * @internal
   */
  private async resolveConflict(root: ConfigRoot, hasUnknownResult: boolean): Promise<void> {
    const result: StoreResult = await this.store.read({ op: 'get', key: ROOT_KEY });
    if (result.kind !== 'found') throw createWriteFailure(root, hasUnknownResult);
    const current = result.entry.value as ConfigRoot;
    const isOwnPublication = ({ nonce }: { readonly nonce: string }) => nonce === root.nonce;
    if (isOwnPublication(current) || current.recent?.some(isOwnPublication)) return;
    // The root lists only recent publications. If it no longer lists this generation, it is unknown
    // whether this publication was accepted.
    const isTaken = current.recent?.some(({ generation }) => generation === root.generation);
    if (hasUnknownResult && isTaken !== true) throw createUnknownOutcomeError(root.generation);
    const base = root.generation - 1;
    throw createStaleBaseError(base, current.generation, getChangedSince(current, base));
  }
}
