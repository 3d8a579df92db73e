import type { EntryState, ServiceName } from '../../core/index.js';

interface ServicePathPrefix {
  readonly prefix: string;
  readonly service: ServiceName;
}

/** Path prefixes of the process API; they apply unless the Host header names a service. */
const PROCESS_API_PATHS = ['/v1/addresses', '/v1/admin', '/healthz', '/readyz', '/metrics'];

/** Matches whole path segments: `/bei` matches `/bei`, `/bei/x` and `/bei?x`, not `/beignets`. */
function hasPathPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/')) return true;
  const next = path[prefix.length];
  return next === undefined || next === '/' || next === '?';
}

/** Finds the service of a request by its Host header or else by a configured path prefix. */
export class ServiceFinder {
  /** @internal */
  private generation = -1;

  /** @internal */
  private prefixes: readonly ServicePathPrefix[] = [];

  /** @param state - The process's state; read-only. */
  constructor(private readonly state: EntryState) {}

  /**
   * Finds the service of a request; undefined if the request is for the process API. If no service
   * matches, the Host header's value is returned, and the core answers that no such service exists.
   * @param host - Value of the Host header; empty if there is none.
   * @param path - Path and query.
   */
  find(host: string, path: string): ServiceName | undefined {
    const named = this.getByHost(host);
    if (named !== undefined) return named;
    if (PROCESS_API_PATHS.some((apiPath) => hasPathPrefix(path, apiPath))) return undefined;
    return this.getByPath(path) ?? host;
  }

  /**
   * Gets the service that a Host header names; undefined if no service has that name.
   * @param host - The header's value; a port is ignored.
   */
  getByHost(host: string): ServiceName | undefined {
    const { services } = this.state.configuration;
    if (services.has(host)) return host;
    const colon = host.indexOf(':');
    const name = (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
    return services.has(name) ? name : undefined;
  }

  /**
   * Gets the service with the longest matching path prefix; undefined if none matches.
   * @param path - Path and query.
   */
  getByPath(path: string): ServiceName | undefined {
    this.refreshPrefixes();
    return this.prefixes.find(({ prefix }) => hasPathPrefix(path, prefix))?.service;
  }

  /** @internal */
  private refreshPrefixes(): void {
    const { current } = this.state.configuration;
    if (current.generation === this.generation) return;
    this.generation = current.generation;
    this.prefixes = current.services
      .flatMap(({ name, pathPrefix }) =>
        pathPrefix === undefined ? [] : [{ prefix: pathPrefix, service: name }],
      )
      .sort((a, b) => b.prefix.length - a.prefix.length);
  }
}
