import { request } from 'node:http';

import type { Destination, ProbeEnd } from '../balancing/index.js';
import { PROBE_TIMEOUT_MS } from '../balancing/index.js';
import { readTargetHead } from '../platform/index.js';
import type { Clock } from '../timing/index.js';
import type { TargetAgents } from './TargetAgents.js';

const OK = 200;

/** Asks targets for their health and load. */
export class Prober {
  /** Probes sent so far. */
  sent = 0;

  /**
   * @param agents - Connections to targets.
   * @param clock - Time to go by.
   * @param onEnded - Told how each probe ended.
   */
  constructor(
    private readonly agents: TargetAgents,
    private readonly clock: Clock,
    private readonly onEnded: (to: Destination, end: ProbeEnd) => void,
  ) {}

  /**
   * Sends one probe; `onEnded` is called exactly once.
   * @param to - The target.
   * @param path - Its health path.
   */
  probe(to: Destination, path: string): void {
    let isOver = false;
    const finish = (end: ProbeEnd): void => {
      if (isOver) return;
      isOver = true;
      this.onEnded(to, end);
    };
    this.send(to, path, finish);
  }

  /** @internal */
  private send(to: Destination, path: string, finish: (end: ProbeEnd) => void): void {
    this.sent += 1;
    const agent = this.agents.get(to);
    const [host, port] = to.address.split(':');
    const req = request({ host, port, path, agent });
    let isConnected = false;
    const timer = setTimeout(() => {
      // The other idle connections to it may be as dead as this one.
      agent.dropIdle();
      finish({ kind: 'silent' });
      req.destroy();
    }, PROBE_TIMEOUT_MS);
    req.once('socket', (socket) => {
      if (!socket.connecting) isConnected = true;
      else {
        socket.once('connect', () => {
          isConnected = true;
        });
      }
    });
    req.once('response', (res) => {
      const now = this.clock.now();
      const head = readTargetHead(res.headers, res.statusCode === OK, now);
      // An answer to a request, come late, at the place of the probe's.
      const isForeign = head.callerRequestId !== undefined;
      if (isForeign) {
        finish({ kind: 'broken' });
        req.destroy();
        return;
      }
      if (head.target !== undefined && head.target !== to.target) finish({ kind: 'stranger' });
      else if (head.reading === undefined) finish({ kind: 'broken' });
      else {
        const { reading, coldMs, limit } = head;
        finish({ kind: 'answered', reading, coldMs, limit });
      }
      res.resume();
    });
    req.once('error', () => {
      // Targets end idle connections without notice; that says nothing of their health.
      if (req.reusedSocket) this.send(to, path, finish);
      else finish({ kind: isConnected ? 'broken' : 'refused' });
    });
    req.once('close', () => clearTimeout(timer));
    req.end();
  }
}
