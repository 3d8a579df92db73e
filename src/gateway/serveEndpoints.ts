import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

import type { ListenAddress } from '../config/index.js';
import { createListenError } from '../entry/errors.js';

/** Handles requests for one path. */
export type EndpointHandler = (req: IncomingMessage, res: ServerResponse) => void;

const NOT_FOUND = 404;

/** Dispatches requests by path; unknown paths get status 404. */
function createListener(handlers: Readonly<Record<string, EndpointHandler>>): RequestListener {
  return (req, res) => {
    const [path] = (req.url ?? '').split('?');
    const handler = Object.hasOwn(handlers, path) ? handlers[path] : undefined;
    if (handler === undefined) res.writeHead(NOT_FOUND).end();
    else handler(req, res);
  };
}

/**
 * Starts an HTTP server for a few paths on its own address.
 * @param listen - Address to listen on.
 * @param handlers - Handlers by path.
 * @throws StartError if the address cannot be listened on.
 */
export async function serveEndpoints(
  { host, port }: ListenAddress,
  handlers: Readonly<Record<string, EndpointHandler>>,
): Promise<Server> {
  const server = createServer(createListener(handlers));
  await new Promise<void>((resolve, reject) => {
    server.once('error', (err) => reject(createListenError(`${host}:${port}`, err)));
    server.listen(port, host, () => resolve());
  });
  return server;
}
