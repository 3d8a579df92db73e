/* global Buffer */
/** HTTP/1.1 over plain sockets, so that a stand-in controls each byte that it sends. */

function parseHead(text) {
  const [start, ...lines] = text.split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return { start, headers };
}

/** Joins the chunks of a chunked body; undefined if it is not complete. */
function readChunked(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(bytes.toString('latin1', at, lineEnd), 16);
    const from = lineEnd + 2;
    if (bytes.length < from + size + 2) return undefined;
    if (size === 0) return { body: Buffer.concat(parts), length: from + 2 };
    parts.push(bytes.subarray(from, from + size));
    at = from + size + 2;
  }
}

/**
 * Reads messages from a socket, one after the other.
 * @param socket - The socket.
 * @param onMessage - Called with each complete message.
 */
export function readMessages(socket, onMessage) {
  let bytes = Buffer.alloc(0);
  const take = () => {
    const headEnd = bytes.indexOf('\r\n\r\n');
    if (headEnd < 0) return false;
    const head = parseHead(bytes.toString('latin1', 0, headEnd));
    const rest = bytes.subarray(headEnd + 4);
    let body = Buffer.alloc(0);
    let { length } = body;
    if (head.headers['transfer-encoding'] === 'chunked') {
      const chunked = readChunked(rest);
      if (chunked === undefined) return false;
      ({ body, length } = chunked);
    } else {
      length = Number(head.headers['content-length'] ?? 0);
      if (rest.length < length) return false;
      body = rest.subarray(0, length);
    }
    bytes = rest.subarray(length);
    onMessage({ ...head, body });
    return true;
  };
  socket.on('data', (chunk) => {
    bytes = bytes.length === 0 ? chunk : Buffer.concat([bytes, chunk]);
    while (take());
  });
}

/** Writes a message without or with a body. */
export function writeMessage(start, headers, body = '') {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.concat([Buffer.from(`${start}\r\n${lines.join('')}\r\n`), Buffer.from(body)]);
}
