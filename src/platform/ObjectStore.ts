import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';

import type { VmRoster } from '../balancing/index.js';
import type { StorePosition } from '../core/model/index.js';
import { UNKNOWN_EPOCH } from '../core/model/index.js';
import type {
  FleetStore,
  ListFreshness,
  Section,
  SectionItems,
  SectionValues,
  StoredItem,
  WatchAnswer,
} from '../fleet/FleetStore.js';
import { StoreCallError } from '../fleet/FleetStore.js';
import { CONFIGURATION_NAME } from '../fleet/sectionChanges.js';
import type { RolloutOrder, RolloutState } from '../rollouts/index.js';
import type { RolloutMetadata } from './decode.js';
import {
  DecodeError,
  decodeRollout,
  decodeRoster,
  decodeRoutingTable,
  decodeTarget,
  encodeRolloutStatus,
} from './decode.js';
import { STORE_EPOCH_HEADER } from './headers.js';
import { readEpoch } from './readEpoch.js';

const OBJECTS_PATH = '/masticlink/objects';

/** Time within which an answer has to begin, in milliseconds; after that the call is abandoned. */
const CALL_TIMEOUT_MS = 800;

/**
 * Additional time for a watch, on top of its own wait, in milliseconds. The store answers by itself
 * at the end of the wait, and a silent connection has to be noticed within the time in which
 * changes have to arrive.
 */
const WATCH_MARGIN_MS = 500;

/** Time within which an answer that has begun has to be complete, in milliseconds. */
const ANSWER_TIMEOUT_MS = 800;

const CREATED = 201;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
const TOO_MANY = 429;
const UNAVAILABLE = 503;

/** A stored object as received. */
interface StoredObject {
  readonly metadata: RolloutMetadata & { readonly deleting?: boolean };
  readonly spec?: unknown;
  readonly status?: unknown;
}

type Method = 'GET' | 'POST' | 'PUT';

interface Answer {
  readonly status: number;
  /** Epoch that the store was in. */
  readonly epoch: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Object kind of a section, and the decoder of its objects. */
interface SectionDecoder<S extends Section> {
  readonly kind: string;
  /**
   * Returns undefined for objects of this kind that do not belong to the section. `onUnreadable` is
   * called with the reason for each part that is left out.
   */
  decode(
    object: StoredObject,
    epoch: number,
    onUnreadable: (reason: string) => void,
  ): SectionValues[S] | undefined;
}

/**
 * Merges a target's fields, which may be at the top level, in the spec or in the status of its
 * object.
 */
function mergeTargetFields({ spec, status, ...rest }: StoredObject): unknown {
  const content = typeof spec === 'object' && spec !== null ? spec : {};
  return { ...rest, ...content, status: status ?? (content as { status?: unknown }).status };
}

const DECODERS: { readonly [S in Section]: SectionDecoder<S> } = {
  configuration: {
    kind: 'config',
    decode: ({ metadata, spec }) =>
      metadata.name === CONFIGURATION_NAME ? decodeRoutingTable(spec) : undefined,
  },
  targets: {
    kind: 'servers',
    decode: (object) => decodeTarget(object.metadata.name, mergeTargetFields(object)),
  },
  zonesOut: {
    kind: 'evacuations',
    decode: ({ metadata }) => (metadata.deleting === true ? undefined : true),
  },
  rollouts: {
    kind: 'rollouts',
    decode: ({ metadata, spec, status }, epoch) =>
      metadata.deleting === true ? undefined : decodeRollout(metadata, spec, status, epoch),
  },
  vms: {
    kind: 'entry-vms',
    decode: ({ spec }, _epoch, onUnreadable) => decodeRoster(spec, onUnreadable),
  },
};

/** Handlers of what the store's answers show besides their content. */
export interface ObjectStoreHandlers {
  /** Called for each stored object that cannot be decoded, and each part of one. */
  onUnreadable(section: Section, name: string, reason: string): void;
  /** Called when an answer states a later epoch than all before it. */
  onEpochChange?(before: number, epoch: number): void;
  /** Called for the first of a series of answers with an epoch that cannot be read. */
  onEpochUnreadable?(text: string): void;
}

function makeError(call: string, section: Section, status: number): StoreCallError {
  return new StoreCallError(
    'protocol',
    `${call} of ${section} failed with unexpected status ${status}`,
  );
}

async function readAnswer(res: IncomingMessage, call: string, epoch: number): Promise<Answer> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of res) chunks.push(chunk as Buffer);
  } catch (err) {
    throw new StoreCallError('unknown', `${call}: ${(err as Error).message}`);
  }
  const status = res.statusCode ?? 0;
  if (status === TOO_MANY) throw new StoreCallError('throttled', `${call}: too many requests`);
  if (status === UNAVAILABLE) throw new StoreCallError('unavailable', `${call}: store unavailable`);
  const text = Buffer.concat(chunks).toString();
  try {
    return { status, epoch, body: text === '' ? {} : (JSON.parse(text) as Answer['body']) };
  } catch {
    throw new StoreCallError('protocol', `${call}: the answer is not valid JSON`);
  }
}

/** The platform's object store over HTTP/1.1. */
export class ObjectStore implements FleetStore {
  /** @internal */
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 4 });

  /** Number of calls made so far, by method and section. */
  readonly calls = new Map<string, number>();

  /** Latest epoch that an answer has stated; it applies to answers that state none. @internal */
  private epoch = UNKNOWN_EPOCH;

  /** @internal */
  private isEpochUnreadable = false;

  /**
   * @param address - IP address and port.
   * @param handlers - Handlers of what the answers show besides their content.
   */
  constructor(
    private address: string,
    private readonly handlers: ObjectStoreHandlers,
  ) {}

  /**
   * Sets the address for further calls.
   * @param address - IP address and port.
   */
  setAddress(address: string): void {
    this.address = address;
  }

  async list<S extends Section>(
    section: S,
    freshness: ListFreshness = 'now',
    onPage: (items: readonly StoredItem<S>[]) => void = () => {},
  ): Promise<SectionItems<S>> {
    const items: StoredItem<S>[] = [];
    let after = '';
    let position: StorePosition | undefined;
    for (;;) {
      const query = new URLSearchParams();
      if (after !== '') query.set('after', after);
      if (freshness === 'mayBeOld') query.set('allow_stale', '1');
      const path = `${OBJECTS_PATH}/${DECODERS[section].kind}${query.size > 0 ? `?${query}` : ''}`;
      const { status, body, epoch } = await this.call('GET', path, section);
      if (status !== OK || !Array.isArray(body.items)) throw makeError('list', section, status);
      // A watch from the first page reports changes that were made between the pages.
      position ??= { epoch, revision: Number(body.store_revision) };
      if (epoch !== position.epoch) {
        throw new StoreCallError('outdated', `the store was restored during a list of ${section}`);
      }
      const objects = body.items as StoredObject[];
      const page = objects.map((object) => this.decode(section, object, epoch));
      items.push(...page);
      if (body.has_more !== true) return { items, position };
      onPage(page);
      after = objects[objects.length - 1].metadata.name;
    }
  }

  async watch<S extends Section>(
    section: S,
    { revision }: StorePosition,
    waitMs: number,
  ): Promise<WatchAnswer<S>> {
    const { kind } = DECODERS[section];
    const path = `${OBJECTS_PATH}/${kind}?watch=${revision}&wait_ms=${waitMs}`;
    const { status, body, epoch } = await this.call('GET', path, section, undefined, waitMs);
    if (status === GONE) return 'historyGone';
    if (status !== OK || !Array.isArray(body.events)) throw makeError('watch', section, status);
    const events = body.events as { object: StoredObject; deleted: boolean }[];
    const items = events.map(({ object, deleted }) =>
      deleted
        ? { name: object.metadata.name, value: undefined }
        : this.decode(section, object, epoch),
    );
    return { items, position: { epoch, revision: Number(body.store_revision) } };
  }

  async announce(announcer: string, roster: VmRoster, hasAnnounced: boolean): Promise<void> {
    const attempts = hasAnnounced
      ? [this.replaceRoster, this.createRoster]
      : [this.createRoster, this.replaceRoster];
    for (const attempt of attempts) {
      const status = await attempt.call(this, announcer, roster);
      if (status === OK || status === CREATED) return;
      if (status !== CONFLICT && status !== NOT_FOUND) throw makeError('announce', 'vms', status);
    }
    throw makeError('announce', 'vms', CONFLICT);
  }

  async writeRolloutState(order: RolloutOrder, state: RolloutState): Promise<boolean> {
    const { name, version, position } = order;
    const metadata = { name, revision: position.revision };
    const object = { metadata, status: encodeRolloutStatus(version, state) };
    const path = `${OBJECTS_PATH}/${DECODERS.rollouts.kind}/${name}/status`;
    const { status, epoch } = await this.call('PUT', path, 'rollouts', object);
    if (status === OK) return epoch === position.epoch;
    // Another VM has written a state, or an operator has changed or removed the order.
    if (status === CONFLICT || status === NOT_FOUND) return false;
    throw makeError('write', 'rollouts', status);
  }

  /** @internal */
  private async createRoster(name: string, spec: VmRoster): Promise<number> {
    const object = { metadata: { name }, spec };
    return (await this.call('POST', `${OBJECTS_PATH}/${DECODERS.vms.kind}`, 'vms', object)).status;
  }

  /** @internal */
  private async replaceRoster(name: string, spec: VmRoster): Promise<number> {
    const object = { metadata: { name }, spec };
    return (await this.call('PUT', `${OBJECTS_PATH}/${DECODERS.vms.kind}/${name}`, 'vms', object))
      .status;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  /** @internal */
  private decode<S extends Section>(
    section: S,
    object: StoredObject,
    epoch: number,
  ): StoredItem<S> {
    const { name } = object.metadata;
    const onUnreadable = (reason: string): void =>
      this.handlers.onUnreadable(section, name, reason);
    try {
      return { name, value: DECODERS[section].decode(object, epoch, onUnreadable) };
    } catch (err) {
      if (!(err instanceof DecodeError)) throw err;
      onUnreadable(err.message);
      return { name, value: undefined };
    }
  }

  /**
   * Returns the epoch that an answer states, or the latest known one if it states none.
   * @internal
   */
  private recordEpoch({ headers }: IncomingMessage): number {
    const { onEpochChange, onEpochUnreadable } = this.handlers;
    const epoch = readEpoch(headers);
    if (epoch === 'unreadable' && !this.isEpochUnreadable) {
      onEpochUnreadable?.(String(headers[STORE_EPOCH_HEADER]));
    }
    this.isEpochUnreadable = epoch === 'unreadable';
    if (typeof epoch !== 'number') return this.epoch;
    // A late answer may be from an earlier epoch.
    if (epoch > this.epoch) {
      onEpochChange?.(this.epoch, epoch);
      this.epoch = epoch;
    }
    return epoch;
  }

  /** @internal */
  private call(
    method: Method,
    path: string,
    section: Section,
    body?: unknown,
    waitMs = 0,
  ): Promise<Answer> {
    const counterKey = `${method} ${section}`;
    this.calls.set(counterKey, (this.calls.get(counterKey) ?? 0) + 1);
    const [host, port] = this.address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve, reject) => {
      const fail = (message: string): void =>
        reject(new StoreCallError('unknown', `${method} ${path}: ${message}`));
      const headers =
        text === undefined
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
      let timer: NodeJS.Timeout | undefined;
      let req: ClientRequest | undefined;
      const startTimer = (ms: number): void => {
        clearTimeout(timer);
        timer = setTimeout(() => {
          fail('timed out waiting for an answer');
          req?.destroy();
        }, ms);
      };
      req = request({ host, port, method, path, headers, agent: this.agent }, (res) => {
        startTimer(ANSWER_TIMEOUT_MS);
        readAnswer(res, `${method} ${path}`, this.recordEpoch(res)).then(resolve, reject);
      });
      startTimer(waitMs > 0 ? waitMs + WATCH_MARGIN_MS : CALL_TIMEOUT_MS);
      req.once('error', (err) => fail(err.message));
      req.once('close', () => clearTimeout(timer));
      req.end(text);
    });
  }
}
