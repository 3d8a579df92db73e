/* eslint max-classes-per-file: off */
/* global clearTimeout, performance, process, setTimeout */
/**
 * A small deployment on loopback for the cases of this review: the gateways are processes of the
 * deploy file's command with settings from its template; store, backends and consumers are stand-ins.
 */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const { PlatformStore } = await import(join(ROOT, 'dist', 'platform', 'standIn', 'index.js'));

export const TROUBLE = process.env.TROUBLE !== '0';

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Random numbers in [0, 1) from a seed. */
export function createRandom(seed) {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) % 2 ** 32;
    let t = Math.imul(state ^ (state >>> 15), 1 | state);
    t ^= t + Math.imul(t ^ (t >>> 7), 61 | t);
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Writes what is sent, answered and run to `record.txt`, one line each. */
export class Record {
  constructor(path) {
    this.stream = createWriteStream(path);
    this.startedAt = performance.now();
  }

  write(...words) {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    this.stream.write(`${at} ${words.join(' ')}\n`);
  }

  end() {
    return new Promise((resolve) => {
      this.stream.end(resolve);
    });
  }
}

async function isFree(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a port that is free at all of some addresses. */
async function findPort(hosts, from) {
  for (let port = from; port < 60_000; port += 1) {
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) return port;
  }
  throw new Error('no free port');
}

const BOUNDS = {
  config_apply: '2000ms',
  drain: '2000ms',
  grace: '6s',
  retry_budget_ratio: 0.2,
  retry_window: '10s',
  retry_slack: 64,
  warmup_overage: 1.5,
  warmup_slack: 5,
  probes_per_s: 60,
  ttl_max: '5s',
};

function lookUp(fields, path) {
  const value = path.split('.').reduce((at, key) => at?.[key], fields);
  return Array.isArray(value) ? value.join(',') : value;
}

/** Fills in the template of the deploy file as far as it uses the platform's placeholders. */
function renderSettings(fields) {
  return readFileSync(join(ROOT, 'deploy', 'gateway.ini'), 'utf8')
    .replace(/\{\{#([\w.]+)\}\}\n([\s\S]*?)\{\{\/\1\}\}\n/g, (_, path, inner) =>
      lookUp(fields, path) ? inner : '',
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(lookUp(fields, path) ?? ''));
}

/** Words of the command under `[roles.entry]` of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /\[roles\.entry\][\s\S]*?run = "([^"]+)"/.exec(text)[1].split(' ');
}

/** A gateway: a process of the deploy file's command. */
class Gateway {
  constructor(options) {
    Object.assign(this, options);
  }

  start() {
    const [program, ...args] = readCommand();
    const settings = join(this.dir, `${this.name}.ini`);
    writeFileSync(settings, renderSettings(this.fields));
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.dir, MASTICLINK_CONFIG: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.ended = new Promise((resolve) => {
      this.child.once('exit', resolve);
    });
    this.child.stdout.resume();
    this.child.stderr.resume();
  }

  /** Stops the process as the platform does: SIGTERM, and SIGKILL after `grace`. */
  async stop(graceMs = 6_000) {
    this.child.kill('SIGTERM');
    const timer = setTimeout(() => this.child.kill('SIGKILL'), graceMs);
    await this.ended;
    clearTimeout(timer);
  }

  kill() {
    if (this.child?.exitCode === null) this.child.kill('SIGKILL');
  }
}

export function fetchText(address, path) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = get({ host, port, path, agent: false, timeout: 1_000 }, (res) => {
      let text = '';
      res.on('data', (chunk) => {
        text += chunk;
      });
      res.once('end', () => resolve({ status: res.statusCode, text }));
    });
    req.once('timeout', () => req.destroy(new Error('timed out')));
    req.once('error', reject);
  });
}

/** Store, gateways and backends of a case. */
export class World {
  constructor(record) {
    this.record = record;
    this.store = new PlatformStore();
    this.gateways = [];
    this.backends = [];
    this.dir = mkdtempSync(join(tmpdir(), 'masticlink-review-'));
  }

  /** Writes the configuration, as the operator does. */
  configure({ routes, services, maxConnections = 260, bodyBytes = 67_108_864 }) {
    const hosts = [...new Set(routes.map(({ host }) => host))];
    this.store.put('config', 'main', {
      version: 'r12',
      listeners: hosts.map((host) => ({
        host,
        routing_rules: routes
          .filter((route) => route.host === host)
          .map((route) => ({
            name: route.name,
            kind: route.kind,
            target_latency: route.target_latency,
            priority: 1,
            match: { path_prefix: route.path_prefix },
            action: {
              service: route.service,
              timeout: route.timeout,
              max_attempts: route.max_attempts,
            },
          })),
      })),
      clusters: services.map((name) => ({
        name,
        health_check_path: '/health',
        max_connections: maxConnections,
        warmup_per_s: 5,
      })),
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: bodyBytes,
        header_timeout: '3000ms',
        idle_timeout: '15000ms',
      },
    });
  }

  /** Registers a backend, as it does itself, and keeps its entry alive. */
  register(backend) {
    this.backends.push(backend);
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      const { id, service, zone, slots, address, born } = backend;
      const info = { service, version: 'v1', zone, max_concurrency: slots };
      const status = { state: 'ready', sequence, warmup_left: '0ms' };
      this.store.put('servers', id, { address, born, info }, status);
    };
    beat();
  }

  async startGateways(zones) {
    // Cases that run at the same time have addresses of their own.
    const network = `127.${64 + ((process.pid >> 8) % 128)}.${process.pid % 256}`;
    const hosts = zones.map((_, i) => `${network}.${10 + i}`);
    const front = await findPort(hosts, 18_381);
    const ready = await findPort(hosts, front + 1);
    const directory = await findPort(hosts, ready + 1);
    const control = await findPort(hosts, directory + 1);
    const internal = await findPort(hosts, control + 1);
    zones.forEach((zone, i) => {
      const ip = hosts[i];
      const name = `edge-${zone}-${i + 1}`;
      const fields = {
        node_name: name,
        zone,
        region: 'pwani',
        ip,
        bootstrap: true,
        listen: {
          front: `${ip}:${front}`,
          ready: `${ip}:${ready}`,
          directory: `${ip}:${directory}`,
          control: `${ip}:${control}`,
        },
        internal_ports: [internal, internal + 15],
        seeds: hosts.slice(0, 3).map((host) => `${host}:${control}`),
        limits: { link_mbps: 1000 },
        bounds: BOUNDS,
        platform_settings: { address: this.store.address },
      };
      this.gateways.push(new Gateway({ name, ip, fields, dir: this.dir }));
    });
    for (const gateway of this.gateways) gateway.start();
    for (let i = 0; i < 100; i += 1) {
      await sleep(100);
      const checks = this.gateways.map(({ fields }) =>
        fetchText(fields.listen.ready, '/masticlink/readiness').catch(() => ({ status: 0 })),
      );
      const answers = await Promise.all(checks);
      if (answers.every(({ status }) => status === 200)) return;
    }
    throw new Error('the gateways did not become ready');
  }

  /** Asks a gateway for the addresses that consumers connect to. */
  async resolve(gateway, host) {
    const path = `/masticlink/resolution?name=${host}&region=pwani&zone=pwani-a`;
    return JSON.parse((await fetchText(gateway.fields.listen.directory, path)).text).addresses;
  }

  async stop() {
    for (const gateway of this.gateways) gateway.kill();
    await Promise.all(this.gateways.map(({ ended }) => ended));
    for (const backend of this.backends) backend.stop();
    await this.store.stop();
    rmSync(this.dir, { recursive: true, force: true });
  }
}

/** Runs a case and ends with 1 if a rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(directory, play) {
  const record = new Record(join(directory, 'record.txt'));
  const world = new World(record);
  const abort = () => {
    for (const gateway of world.gateways) gateway.kill();
    process.exit(2);
  };
  const limit = setTimeout(abort, 115_000);
  process.once('SIGTERM', abort);
  process.once('SIGINT', abort);
  let code = 2;
  try {
    await world.store.start();
    const broken = await play(world, record);
    code = broken ? 1 : 0;
  } catch (err) {
    record.write('could not run:', err.stack);
    process.stderr.write(`${err.stack}\n`);
  }
  await world.stop().catch(() => undefined);
  await record.end();
  clearTimeout(limit);
  process.exit(code);
}
