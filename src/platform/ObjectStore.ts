import type { ClientRequest, IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';

import type { VmRoster } from '../balancing/index.js';
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

const PATH = '/masticlink/objects';

/** A call is given up if no answer has begun after this time, in milliseconds. */
const CALL_TIMEOUT_MS = 800;

/**
 * The same for a watch, on top of what it waits: the store answers by itself then, and a connection
 * that went silent has to be noticed within the time that a change may take.
 */
const WATCH_TIMEOUT_MS = 500;

/** An answer that has begun is given up if it is not whole after this time, in milliseconds. */
const ANSWER_TIMEOUT_MS = 800;

const CREATED = 201;
const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
const TOO_MANY = 429;
const UNAVAILABLE = 503;

/** A stored object as it comes. */
interface StoredObject {
  readonly metadata: RolloutMetadata & { readonly deleting?: boolean };
  readonly spec?: unknown;
  readonly status?: unknown;
}

type Method = 'GET' | 'POST' | 'PUT';

interface Answer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Where a section lies, and how its objects are read. */
interface SectionCodec<S extends Section> {
  readonly kind: string;
  /** Undefined for objects of the kind that are not meant. */
  decode(object: StoredObject): SectionValues[S] | undefined;
}

/** What a target writes lies at the top level, in the content or in the status of its object. */
function joinTarget({ spec, status, ...rest }: StoredObject): unknown {
  const content = typeof spec === 'object' && spec !== null ? spec : {};
  return { ...rest, ...content, status: status ?? (content as { status?: unknown }).status };
}

const CODECS: { readonly [S in Section]: SectionCodec<S> } = {
  configuration: {
    kind: 'config',
    decode: ({ metadata, spec }) =>
      metadata.name === 'main' ? decodeRoutingTable(spec) : undefined,
  },
  targets: {
    kind: 'servers',
    decode: (object) => decodeTarget(object.metadata.name, joinTarget(object)),
  },
  zonesOut: {
    kind: 'evacuations',
    decode: ({ metadata }) => (metadata.deleting === true ? undefined : true),
  },
  rollouts: {
    kind: 'rollouts',
    decode: ({ metadata, spec, status }) =>
      metadata.deleting === true ? undefined : decodeRollout(metadata, spec, status),
  },
  vms: { kind: 'entry-vms', decode: ({ spec }) => decodeRoster(spec) },
};

/** Told of each stored object that can't be read. */
export type UnreadableHandler = (section: Section, name: string, reason: string) => void;

function unexpected(call: string, section: Section, status: number): StoreCallError {
  return new StoreCallError('protocol', `${call} of ${section} was answered with ${status}`);
}

async function readAnswer(res: IncomingMessage, call: string): Promise<Answer> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of res) chunks.push(chunk as Buffer);
  } catch (err) {
    throw new StoreCallError('unknown', `${call}: ${(err as Error).message}`);
  }
  const status = res.statusCode ?? 0;
  if (status === TOO_MANY) throw new StoreCallError('throttled', `${call}: too many calls`);
  if (status === UNAVAILABLE) throw new StoreCallError('unavailable', `${call}: unavailable`);
  const text = Buffer.concat(chunks).toString();
  try {
    return { status, body: text === '' ? {} : (JSON.parse(text) as Answer['body']) };
  } catch {
    throw new StoreCallError('protocol', `${call}: the answer is no JSON`);
  }
}

/** The platform's object store over HTTP/1.1. */
export class ObjectStore implements FleetStore {
  /** @internal */
  private readonly agent = new Agent({ keepAlive: true, maxFreeSockets: 4 });

  /** Calls made so far, by method and section. */
  readonly calls = new Map<string, number>();

  /**
   * @param address - IP number and port.
   * @param onUnreadable - Told of each object that can't be read.
   */
  constructor(
    private address: string,
    private readonly onUnreadable: UnreadableHandler,
  ) {}

  /**
   * Goes on with another address.
   * @param address - IP number and port.
   */
  moveTo(address: string): void {
    this.address = address;
  }

  async list<S extends Section>(
    section: S,
    freshness: ListFreshness = 'now',
    onPage: (items: readonly StoredItem<S>[]) => void = () => {},
  ): Promise<SectionItems<S>> {
    const items: StoredItem<S>[] = [];
    let after = '';
    for (;;) {
      const query = new URLSearchParams();
      if (after !== '') query.set('after', after);
      if (freshness === 'mayBeOld') query.set('allow_stale', '1');
      const path = `${PATH}/${CODECS[section].kind}${query.size > 0 ? `?${query}` : ''}`;
      const { status, body } = await this.call('GET', path, section);
      if (status !== OK || !Array.isArray(body.items)) throw unexpected('list', section, status);
      const objects = body.items as StoredObject[];
      const page = objects.map((object) => this.decode(section, object, false));
      items.push(...page);
      if (body.has_more !== true) return { items, revision: Number(body.store_revision) };
      onPage(page);
      after = objects[objects.length - 1].metadata.name;
    }
  }

  async watch<S extends Section>(
    section: S,
    revision: number,
    waitMs: number,
  ): Promise<WatchAnswer<S>> {
    const { kind } = CODECS[section];
    const path = `${PATH}/${kind}?watch=${revision}&wait_ms=${waitMs}`;
    const { status, body } = await this.call('GET', path, section, undefined, waitMs);
    if (status === GONE) return 'historyGone';
    if (status !== OK || !Array.isArray(body.events)) throw unexpected('watch', section, status);
    const events = body.events as { object: StoredObject; deleted: boolean }[];
    const items = events.map(({ object, deleted }) => this.decode(section, object, deleted));
    return { items, revision: Number(body.store_revision) };
  }

  async announce(announcer: string, roster: VmRoster, hasAnnounced: boolean): Promise<void> {
    const write = hasAnnounced
      ? [this.replaceRoster, this.createRoster]
      : [this.createRoster, this.replaceRoster];
    for (const each of write) {
      const status = await each.call(this, announcer, roster);
      if (status === OK || status === CREATED) return;
      if (status !== CONFLICT && status !== NOT_FOUND) throw unexpected('announce', 'vms', status);
    }
    throw unexpected('announce', 'vms', CONFLICT);
  }

  async writeRolloutState(order: RolloutOrder, state: RolloutState): Promise<boolean> {
    const { name, version, revision } = order;
    const object = { metadata: { name, revision }, status: encodeRolloutStatus(version, state) };
    const path = `${PATH}/${CODECS.rollouts.kind}/${name}/status`;
    const { status } = await this.call('PUT', path, 'rollouts', object);
    if (status === OK) return true;
    // Somebody else has written it, or operators have changed or removed the order.
    if (status === CONFLICT || status === NOT_FOUND) return false;
    throw unexpected('write', 'rollouts', status);
  }

  /** @internal */
  private async createRoster(name: string, spec: VmRoster): Promise<number> {
    const object = { metadata: { name }, spec };
    return (await this.call('POST', `${PATH}/${CODECS.vms.kind}`, 'vms', object)).status;
  }

  /** @internal */
  private async replaceRoster(name: string, spec: VmRoster): Promise<number> {
    const object = { metadata: { name }, spec };
    return (await this.call('PUT', `${PATH}/${CODECS.vms.kind}/${name}`, 'vms', object)).status;
  }

  /** Ends the connections. */
  close(): void {
    this.agent.destroy();
  }

  /** @internal */
  private decode<S extends Section>(
    section: S,
    object: StoredObject,
    isGone: boolean,
  ): StoredItem<S> {
    const { name } = object.metadata;
    if (isGone) return { name, value: undefined };
    try {
      return { name, value: CODECS[section].decode(object) };
    } catch (err) {
      if (!(err instanceof DecodeError)) throw err;
      this.onUnreadable(section, name, err.message);
      return { name, value: undefined };
    }
  }

  /** @internal */
  private call(
    method: Method,
    path: string,
    section: Section,
    body?: unknown,
    waitMs = 0,
  ): Promise<Answer> {
    const counter = `${method} ${section}`;
    this.calls.set(counter, (this.calls.get(counter) ?? 0) + 1);
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
      const limit = (ms: number): void => {
        clearTimeout(timer);
        timer = setTimeout(() => {
          fail('no answer in time');
          req?.destroy();
        }, ms);
      };
      req = request({ host, port, method, path, headers, agent: this.agent }, (res) => {
        limit(ANSWER_TIMEOUT_MS);
        readAnswer(res, `${method} ${path}`).then(resolve, reject);
      });
      limit(waitMs > 0 ? waitMs + WATCH_TIMEOUT_MS : CALL_TIMEOUT_MS);
      req.once('error', (err) => fail(err.message));
      req.once('close', () => clearTimeout(timer));
      req.end(text);
    });
  }
}
