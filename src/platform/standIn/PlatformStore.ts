import type { IncomingMessage, ServerResponse } from 'node:http';

import { StandInServer } from '../../standIns/http/StandInServer.js';

/** One stored object, as it goes over the wire. */
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

/** Objects in one page of a listing. */
const PAGE = 50;

/** Changes that are remembered; a watch from before them is told that they are gone. */
const HISTORY = 500;

const PATH = /^\/masticlink\/objects\/([\w-]+)(?:\/([^/?]+))?(\/status)?$/;

async function readBody(req: IncomingMessage): Promise<Partial<StoredObject>> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : (JSON.parse(text) as Partial<StoredObject>);
}

function answer(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'Content-Type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** The platform's store as a stand-in: objects with revisions, conditional writes, watches. */
export class PlatformStore {
  /** @internal */
  private readonly kinds = new Map<string, Map<string, StoredObject>>();

  /** @internal */
  private events: StoreEvent[] = [];

  /** @internal */
  private revision = 1;

  /** Watches that wait for a change. @internal */
  private readonly waiting = new Set<() => void>();

  /** @internal */
  private server: StandInServer | undefined;

  /** Begins to listen on a free port of loopback. */
  async start(): Promise<void> {
    this.server = await StandInServer.start({}, (req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  /** IP number and port. */
  get address(): string {
    return this.server?.address ?? '';
  }

  /** Ends it. */
  async stop(): Promise<void> {
    await this.server?.stop();
  }

  /** Puts an object, as operators and targets do. */
  put(kind: string, name: string, spec: unknown, status: unknown = null): void {
    const objects = this.getKind(kind);
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
    this.note({ kind, revision: this.revision, object, deleted: false });
  }

  /** Removes an object; nothing happens if there is none. */
  remove(kind: string, name: string): void {
    const object = this.getKind(kind).get(name);
    if (object === undefined) return;
    this.getKind(kind).delete(name);
    this.revision += 1;
    this.note({ kind, revision: this.revision, object, deleted: true });
  }

  /** Forgets all changes so far, so that watches have to read anew. */
  forgetHistory(): void {
    this.events = [];
  }

  /** @internal */
  private getKind(kind: string): Map<string, StoredObject> {
    const known = this.kinds.get(kind) ?? new Map<string, StoredObject>();
    this.kinds.set(kind, known);
    return known;
  }

  /** @internal */
  private note(event: StoreEvent): void {
    this.events.push(event);
    if (this.events.length > HISTORY) this.events.shift();
    const { waiting } = this;
    for (const wake of [...waiting]) wake();
  }

  /** @internal */
  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const [, kind, name] = PATH.exec(url.pathname) ?? [];
    if (kind === undefined) {
      answer(res, 404, {});
      return;
    }
    if (req.method === 'GET' && name === undefined) {
      await this.read(kind, url, res);
      return;
    }
    const body = await readBody(req);
    const id = name ?? body.metadata?.name ?? '';
    const isStatus = PATH.exec(url.pathname)?.[3] !== undefined;
    if (isStatus && req.method === 'PUT') this.putStatus(kind, id, body, res);
    else this.handleOne(req.method ?? 'GET', { kind, id, spec: body.spec }, res);
  }

  /** Replaces a status, unless the object has changed since the revision that the writer names. @internal */
  private putStatus(
    kind: string,
    id: string,
    { metadata, status }: Partial<StoredObject>,
    res: ServerResponse,
  ): void {
    const known = this.getKind(kind).get(id);
    const revision = metadata?.revision;
    if (known === undefined) answer(res, 404, {});
    else if (revision !== undefined && revision !== known.metadata.revision) {
      answer(res, 409, known);
    } else {
      this.put(kind, id, known.spec, status);
      answer(res, 200, this.getKind(kind).get(id));
    }
  }

  /** An object's status; undefined if there is no such object. */
  getStatus(kind: string, name: string): unknown {
    return this.getKind(kind).get(name)?.status;
  }

  /** A call that concerns one object. @internal */
  private handleOne(
    method: string,
    { kind, id, spec }: { readonly kind: string; readonly id: string; readonly spec: unknown },
    res: ServerResponse,
  ): void {
    const known = this.getKind(kind).get(id);
    const missing = known === undefined ? 404 : 200;
    if (method === 'POST' && known !== undefined) answer(res, 409, known);
    else if (method === 'GET' || (method === 'PUT' && known === undefined)) {
      answer(res, missing, known ?? {});
    } else if (method === 'DELETE') {
      this.remove(kind, id);
      answer(res, missing, {});
    } else {
      this.put(kind, id, spec);
      answer(res, 200, this.getKind(kind).get(id));
    }
  }

  /** @internal */
  private async read(kind: string, url: URL, res: ServerResponse): Promise<void> {
    const from = url.searchParams.get('watch');
    if (from !== null) {
      await this.watch(kind, Number(from), Number(url.searchParams.get('wait_ms') ?? 0), res);
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const names = [...this.getKind(kind).keys()].sort().filter((name) => name > after);
    const items = names.slice(0, PAGE).map((name) => this.getKind(kind).get(name));
    const hasMore = names.length > PAGE;
    answer(res, 200, { items, has_more: hasMore, store_revision: this.revision });
  }

  /** @internal */
  private async watch(kind: string, from: number, waitMs: number, res: ServerResponse) {
    const oldest = this.events[0]?.revision ?? this.revision + 1;
    if (from + 1 < oldest && from < this.revision) {
      answer(res, 410, {});
      return;
    }
    const find = (): StoreEvent[] =>
      this.events.filter((event) => event.kind === kind && event.revision > from);
    const endsAt = Date.now() + waitMs;
    while (find().length === 0 && Date.now() < endsAt) await this.waitForChange(endsAt);
    const events = find().map(({ object, deleted }) => ({ object, deleted }));
    answer(res, 200, { events, store_revision: this.revision });
  }

  /** @internal */
  private waitForChange(endsAt: number): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const wake = (): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, Math.max(0, endsAt - Date.now()));
      this.waiting.add(wake);
    });
  }
}
