import { STATUS_CODES } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import { linger } from './linger.js';
import type { Problem } from './problem.js';
import { getProblemHeaders, writeProblemBody } from './problem.js';

const MALFORMED_REQUEST: Problem = {
  status: 400,
  outcome: 'not-run',
  code: 'malformed-request',
  detail: 'the request is not HTTP/1.1',
};

/** Problems by the code of Node's parser error. */
const PROBLEMS_BY_ERROR_CODE = new Map<string, Problem>([
  [
    'HPE_HEADER_OVERFLOW',
    {
      status: 431,
      outcome: 'not-run',
      code: 'headers-too-large',
      detail: "the request's headers are larger than this entry VM takes",
    },
  ],
  [
    'ERR_HTTP_REQUEST_TIMEOUT',
    {
      status: 408,
      outcome: 'not-run',
      code: 'request-timeout',
      detail: "the request's head did not come in time",
    },
  ],
]);

/** Node's parser error. */
export type ClientError = Error & { readonly code?: string };

/**
 * Gets the problem with which a parser error is answered.
 * @param err - Node's parser error.
 */
export function getClientProblem({ code }: ClientError): Problem {
  return PROBLEMS_BY_ERROR_CODE.get(code ?? '') ?? MALFORMED_REQUEST;
}

function writeRawProblem(socket: Duplex, problem: Problem): void {
  const body = writeProblemBody(problem);
  const headers = [...getProblemHeaders(problem, body.length), 'Connection', 'close'];
  const lines = [`HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`];
  for (let i = 0; i + 1 < headers.length; i += 2) lines.push(`${headers[i]}: ${headers[i + 1]}`);
  socket.end(Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]));
}

/**
 * Answers a parser error with a problem and closes the connection. No earlier answer on the
 * connection may be unfinished, since this one would be written into the middle of it.
 * @param err - Node's parser error.
 * @param socket - The caller's connection.
 */
export function answerClientError(err: ClientError, socket: Duplex): void {
  if (err.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  writeRawProblem(socket, getClientProblem(err));
}

/**
 * Refuses a request that names no host.
 * @param req - The request.
 * @param res - Its answer.
 */
export function refuseWithoutHost(req: IncomingMessage, res: ServerResponse): void {
  const problem = { ...MALFORMED_REQUEST, detail: 'the request has no Host header' };
  const body = writeProblemBody(problem);
  res.writeHead(problem.status, getProblemHeaders(problem, body.length));
  res.end(body);
  linger(req, res);
}

/**
 * Refuses a CONNECT request: masticlink is no forward proxy. No earlier answer on the connection may
 * be unfinished.
 * @param socket - The caller's connection.
 */
export function refuseConnect(socket: Duplex): void {
  writeRawProblem(socket, {
    status: 501,
    outcome: 'not-run',
    code: 'upgrade-not-supported',
    detail: 'CONNECT is not offered',
  });
}
