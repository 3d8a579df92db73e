import { get } from 'node:http';

/** Time that a gateway has to answer, in milliseconds. */
const TIMEOUT_MS = 1_000;

const TARGETS_LINE = /^masticlink_gateway_targets\{.*\} (\d+)$/gm;

/**
 * Counts the targets that a gateway knows, by its metrics.
 * @param port - Port of its metrics.
 * @returns Undefined if it does not answer.
 * @example
 * await countKnownTargets(gateway.options.ports.metrics);
 */
export function countKnownTargets(port: number): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = get({ host: '127.0.0.1', port, path: '/metrics', timeout: TIMEOUT_MS }, (res) => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => {
        text += chunk;
      });
      res.on('error', () => resolve(undefined));
      res.on('end', () => {
        const counts = [...text.matchAll(TARGETS_LINE)].map(([, count]) => Number(count));
        resolve(counts.reduce((total, count) => total + count, 0));
      });
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(undefined));
  });
}
