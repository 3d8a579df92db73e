import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { ListenAddress } from '../config/index.js';
import { createListenError } from '../entry/errors.js';

/** One page: what it answers when it is asked for. */
export type Page = (req: IncomingMessage, res: ServerResponse) => void;

const NOT_FOUND = 404;

/** Answers with the page of the request's path. */
function createListener(pages: Readonly<Record<string, Page>>): RequestListener {
  return (req, res) => {
    const [path] = (req.url ?? '').split('?');
    const page = Object.hasOwn(pages, path) ? pages[path] : undefined;
    if (page === undefined) res.writeHead(NOT_FOUND).end();
    else page(req, res);
  };
}

/**
 * Serves a few pages on an address of their own.
 * @param listen - Where.
 * @param pages - Pages by path.
 */
export async function servePages(
  { host, port }: ListenAddress,
  pages: Readonly<Record<string, Page>>,
): Promise<Server> {
  const server = createServer(createListener(pages));
  await new Promise<void>((resolve, reject) => {
    server.once('error', (err) => reject(createListenError(`${host}:${port}`, err)));
    server.listen(port, host, () => resolve());
  });
  return server;
}
