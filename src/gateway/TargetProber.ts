import { request } from 'node:http';

import type { Destination, ProbeResult } from '../balancing/index.js';
import { PROBE_TIMEOUT_MS } from '../balancing/index.js';
import { readStatements, readTargetHead } from '../platform/index.js';
import type { Clock } from '../timing/index.js';
import { recordConnectionUse } from './SendingTrace.js';
import { getLastingStatements } from './TargetRequest.js';
import type { TargetAgents } from './TargetAgents.js';

const OK = 200;

/** Probes targets for their health and load. */
export class TargetProber {
  /** Probes sent so far. */
  sentProbes = 0;

  /**
   * @param agents - Connection pools of the targets.
   * @param clock - Clock for the time of load readings.
   * @param onEnded - Called with the outcome of each probe.
   */
  constructor(
    private readonly agents: TargetAgents,
    private readonly clock: Clock,
    private readonly onEnded: (to: Destination, end: ProbeResult) => void,
  ) {}

  /**
   * Sends one probe; `onEnded` is called exactly once.
   * @param to - The target to probe.
   * @param path - Health check path of its service.
   */
  probe(to: Destination, path: string): void {
    let hasEnded = false;
    const finish = (end: ProbeResult): void => {
      if (hasEnded) return;
      hasEnded = true;
      this.onEnded(to, end);
    };
    this.send(to, path, finish);
  }

  /** @internal */
  private send(to: Destination, path: string, finish: (end: ProbeResult) => void): void {
    this.sentProbes += 1;
    const agent = this.agents.getAgent(to);
    const [host, port] = to.address.split(':');
    const req = request({ host, port, path, agent });
    let isConnected = false;
    const timer = setTimeout(() => {
      // The other idle connections to this target are probably dead as well.
      agent.destroyIdle();
      finish({ kind: 'silent' });
      req.destroy();
    }, PROBE_TIMEOUT_MS);
    req.once('socket', (socket) => {
      recordConnectionUse(socket, 'probes', this.clock.now());
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
      const statements = readStatements(res.headers, res.statusCode ?? 0);
      // A late answer to an earlier request on this connection, received in place of the probe's.
      const isLateAnswer = head.callerRequestId !== undefined;
      if (isLateAnswer) {
        finish({ kind: 'broken', ...getLastingStatements(res.statusCode ?? 0, statements) });
        req.destroy();
        return;
      }
      if (head.target !== undefined && head.target !== to.target) finish({ kind: 'stranger' });
      else if (head.reading === undefined) finish({ kind: 'broken', ...statements });
      else {
        const { reading, coldMs, limit } = head;
        const isAnonymous = head.target === undefined;
        finish({ kind: 'answered', reading, coldMs, limit, isAnonymous, ...statements });
      }
      res.resume();
    });
    req.once('error', () => {
      // Targets close idle connections without notice, which says nothing about their health.
      if (req.reusedSocket) this.send(to, path, finish);
      else finish({ kind: isConnected ? 'unanswered' : 'refused' });
    });
    req.once('close', () => clearTimeout(timer));
    req.end();
  }
}
