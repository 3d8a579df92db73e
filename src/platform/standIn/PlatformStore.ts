import type { IncomingMessage, ServerResponse } from 'node:http';

import { StandInServer } from '../../standIns/http/StandInServer.js';
import { STORE_EPOCH_HEADER } from '../headers.js';
import { writeJson } from './RawJson.js';

/** A stored object as sent over the wire. */
interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly revision: number;
    readonly create_revision: number;
    readonly finalizers: readonly string[];
    readonly deleting: boolean;
  };
  readonly spec: unknown;
  readonly status: unknown;
}

interface StoreEvent {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

/** Copy of a store's content, from which it can be restored. */
export interface StoreCopy {
  readonly revision: number;
  readonly objectsByKind: ReadonlyMap<string, Map<string, StoredObject>>;
  readonly events: readonly StoreEvent[];
}

/** Maximum number of objects in one page of a listing. */
const PAGE_SIZE = 50;

/**
 * Number of changes that are kept; a watch from before the oldest one is answered with 410 (Gone).
 */
const HISTORY_SIZE = 500;

/** Kinds of objects that operators and targets write again after the store has lost them. */
const REWRITTEN_KINDS: readonly string[] = ['config', 'servers', 'evacuations', 'rollouts'];

const PATH_PATTERN = /^\/masticlink\/objects\/([\w-]+)(?:\/([^/?]+))?(\/status)?$/;

async function readBody(req: IncomingMessage): Promise<Partial<StoredObject>> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : (JSON.parse(text) as Partial<StoredObject>);
}

/**
 * Stand-in for the platform's object store: objects with revisions, conditional writes, watches.
 */
export class PlatformStore {
  /** @internal */
  private readonly objectsByKind = new Map<string, Map<string, StoredObject>>();

  /** @internal */
  private events: StoreEvent[] = [];

  /** @internal */
  private revision = 1;

  /** Number of times that the store has been restored from a copy. @internal */
  private epoch = 1;

  /**
   * Value of the header that states the epoch in all answers; undefined if the store states none.
   * Tests replace it to state odd values.
   */
  formatEpoch: (epoch: number) => string | undefined = String;

  /** Whether calls that would change something are refused with 503. */
  isReadOnly = false;

  /** Whether all connections are reset. @internal */
  private isAway = false;

  /**
   * Objects as their owners have last written them, by kind and name; undefined for those that were
   * removed. A restore does not change what owners want. @internal
   */
  private readonly wantedByKind = new Map<string, Map<string, StoredObject | undefined>>();

  /** Callbacks of the watches that wait for a change. @internal */
  private readonly watchers = new Set<() => void>();

  /** @internal */
  private server: StandInServer | undefined;

  /** Starts to listen on a free loopback port. */
  async start(): Promise<void> {
    this.server = await StandInServer.start({}, (req, res) => {
      if (this.isAway) {
        res.destroy();
        return;
      }
      if (this.isReadOnly && req.method !== 'GET') {
        req.resume();
        this.sendJson(res, 503, {});
        return;
      }
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** IP address and port. */
  get address(): string {
    return this.server?.address ?? '';
  }

  /** Stops the server. */
  async stop(): Promise<void> {
    await this.server?.stop();
  }

  /** Creates or replaces an object, as operators and targets do. */
  put(kind: string, name: string, spec: unknown, status: unknown = null): void {
    this.getWanted(kind).set(name, this.write(kind, name, spec, status));
  }

  /** @internal */
  private write(kind: string, name: string, spec: unknown, status: unknown): StoredObject {
    const objects = this.getObjects(kind);
    const known = objects.get(name);
    this.revision += 1;
    const object: StoredObject = {
      metadata: {
        name,
        revision: this.revision,
        create_revision: known?.metadata.create_revision ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status,
    };
    objects.set(name, object);
    this.recordEvent({ kind, revision: this.revision, object, deleted: false });
    return object;
  }

  /** Removes an object; does nothing if it does not exist. */
  remove(kind: string, name: string): void {
    this.getWanted(kind).set(name, undefined);
    this.delete(kind, name);
  }

  /** @internal */
  private delete(kind: string, name: string): void {
    const object = this.getObjects(kind).get(name);
    if (object === undefined) return;
    this.getObjects(kind).delete(name);
    this.revision += 1;
    this.recordEvent({ kind, revision: this.revision, object, deleted: true });
  }

  /** Clears the history of changes, so that watches have to list the objects again. */
  clearHistory(): void {
    this.events = [];
  }

  /** Copies the content, as a backup does. */
  copy(): StoreCopy {
    const { revision, events, objectsByKind } = this;
    const objects = [...objectsByKind].map(([kind, byName]) => [kind, new Map(byName)] as const);
    return { revision, events: [...events], objectsByKind: new Map(objects) };
  }

  /**
   * Goes back to a copy: later changes are lost, and their revisions are given out again.
   * @param copy - The copy.
   */
  restore({ revision, events, objectsByKind }: StoreCopy): void {
    this.epoch += 1;
    this.revision = revision;
    this.events = [...events];
    this.objectsByKind.clear();
    for (const [kind, byName] of objectsByKind) this.objectsByKind.set(kind, new Map(byName));
  }

  /** Makes the store unreachable, or reachable again. */
  setAway(isAway: boolean): void {
    this.isAway = isAway;
    // Watches that wait end, and their answers are never sent.
    if (isAway) for (const wake of [...this.watchers]) wake();
  }

  /**
   * Lists the objects of operators and targets that differ from a copy. After a restore they are
   * written again, as their owners want them by then. What a restore has brought back is not what an
   * owner wants, and the history is no help, since it may have been cleared.
   * @param copy - The copy.
   * @returns A function for each object that writes it again.
   */
  getChangesSince({ objectsByKind }: StoreCopy): readonly (() => void)[] {
    return REWRITTEN_KINDS.flatMap((kind) => {
      const copied = objectsByKind.get(kind) ?? new Map<string, StoredObject>();
      const wanted = this.getWanted(kind);
      const names = [...new Set([...copied.keys(), ...wanted.keys()])];
      return names
        .filter((name) => copied.get(name) !== wanted.get(name))
        .map((name) => () => this.writeAgain(kind, name));
    });
  }

  /** @internal */
  private writeAgain(kind: string, name: string): void {
    const object = this.getObjects(kind).get(name);
    const wanted = this.getWanted(kind).get(name);
    if (object === wanted) return;
    if (wanted === undefined) this.delete(kind, name);
    else this.put(kind, name, wanted.spec, kind === 'servers' ? wanted.status : object?.status);
  }

  /** @internal */
  private getWanted(kind: string): Map<string, StoredObject | undefined> {
    const known = this.wantedByKind.get(kind) ?? new Map<string, StoredObject | undefined>();
    this.wantedByKind.set(kind, known);
    return known;
  }

  /** @internal */
  private getObjects(kind: string): Map<string, StoredObject> {
    const known = this.objectsByKind.get(kind) ?? new Map<string, StoredObject>();
    this.objectsByKind.set(kind, known);
    return known;
  }

  /** @internal */
  private recordEvent(event: StoreEvent): void {
    this.events.push(event);
    if (this.events.length > HISTORY_SIZE) this.events.shift();
    const { watchers } = this;
    for (const wake of [...watchers]) wake();
  }

  /** @internal */
  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const [, kind, name] = PATH_PATTERN.exec(url.pathname) ?? [];
    if (kind === undefined) {
      this.sendJson(res, 404, {});
      return;
    }
    if (req.method === 'GET' && name === undefined) {
      await this.handleCollection(kind, url, res);
      return;
    }
    const body = await readBody(req);
    const id = name ?? body.metadata?.name ?? '';
    const isStatus = PATH_PATTERN.exec(url.pathname)?.[3] !== undefined;
    if (isStatus && req.method === 'PUT') this.putStatus(kind, id, body, res);
    else this.handleObject(req.method ?? 'GET', { kind, id, spec: body.spec }, res);
  }

  /**
   * Replaces a status, unless the object has changed since the revision that the writer sent.
   * @internal
   */
  private putStatus(
    kind: string,
    id: string,
    { metadata, status }: Partial<StoredObject>,
    res: ServerResponse,
  ): void {
    const known = this.getObjects(kind).get(id);
    const revision = metadata?.revision;
    if (known === undefined) this.sendJson(res, 404, {});
    else if (revision !== undefined && revision !== known.metadata.revision) {
      this.sendJson(res, 409, known);
    } else {
      const written = this.write(kind, id, known.spec, status);
      const wanted = this.getWanted(kind);
      // A status that is written to an object that a restore has brought back is not its owner's.
      if (wanted.get(id) === known) wanted.set(id, written);
      this.sendJson(res, 200, written);
    }
  }

  /** Status of an object; undefined if the object does not exist. */
  getStatus(kind: string, name: string): unknown {
    return this.getObjects(kind).get(name)?.status;
  }

  /** Content of an object; undefined if the object does not exist. */
  getSpec(kind: string, name: string): unknown {
    return this.getObjects(kind).get(name)?.spec;
  }

  /** Handles a call for a single object. @internal */
  private handleObject(
    method: string,
    { kind, id, spec }: { readonly kind: string; readonly id: string; readonly spec: unknown },
    res: ServerResponse,
  ): void {
    const known = this.getObjects(kind).get(id);
    const foundStatus = known === undefined ? 404 : 200;
    if (method === 'POST' && known !== undefined) this.sendJson(res, 409, known);
    else if (method === 'GET' || (method === 'PUT' && known === undefined)) {
      this.sendJson(res, foundStatus, known ?? {});
    } else if (method === 'DELETE') {
      this.remove(kind, id);
      this.sendJson(res, foundStatus, {});
    } else {
      this.put(kind, id, spec);
      this.sendJson(res, 200, this.getObjects(kind).get(id));
    }
  }

  /** @internal */
  private sendJson(res: ServerResponse, status: number, body: unknown): void {
    if (this.isAway) {
      res.destroy();
      return;
    }
    const epoch = this.formatEpoch(this.epoch);
    if (epoch !== undefined) res.setHeader(STORE_EPOCH_HEADER, epoch);
    res.writeHead(status, { 'Content-Type': 'application/json' });
    res.end(writeJson(body));
  }

  /** @internal */
  private async handleCollection(kind: string, url: URL, res: ServerResponse): Promise<void> {
    const since = url.searchParams.get('watch');
    if (since !== null) {
      await this.watch(kind, Number(since), Number(url.searchParams.get('wait_ms') ?? 0), res);
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const names = [...this.getObjects(kind).keys()].sort().filter((name) => name > after);
    const items = names.slice(0, PAGE_SIZE).map((name) => this.getObjects(kind).get(name));
    const hasMore = names.length > PAGE_SIZE;
    this.sendJson(res, 200, { items, has_more: hasMore, store_revision: this.revision });
  }

  /** @internal */
  private async watch(kind: string, since: number, waitMs: number, res: ServerResponse) {
    const oldestRevision = this.events[0]?.revision ?? this.revision + 1;
    const isForgotten = since + 1 < oldestRevision && since < this.revision;
    if (isForgotten || since > this.revision) {
      this.sendJson(res, 410, {});
      return;
    }
    const findEvents = (): StoreEvent[] =>
      this.events.filter((event) => event.kind === kind && event.revision > since);
    const endsAt = Date.now() + waitMs;
    while (findEvents().length === 0 && Date.now() < endsAt && !this.isAway) {
      await this.waitForChange(endsAt);
    }
    const events = findEvents().map(({ object, deleted }) => ({ object, deleted }));
    this.sendJson(res, 200, { events, store_revision: this.revision });
  }

  /** @internal */
  private waitForChange(endsAt: number): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const wake = (): void => {
        clearTimeout(timer);
        this.watchers.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, Math.max(0, endsAt - Date.now()));
      this.watchers.add(wake);
    });
  }
}
