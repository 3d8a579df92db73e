import 'reflect-metadata';

import type { RequestListener } from 'node:http';
import { createServer } from 'node:http';

import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';

import { createApiModule } from './ApiModule.js';
import type { ApiParts } from './ApiParts.js';
import { ProblemFilter } from './ProblemFilter.js';

/**
 * Maximum size of a request body. A pushed configuration contains all services at once, each of
 * which may be as large as a value in the store, 1 MB.
 */
const MAX_ADMIN_BODY_BYTES = 16 * 1024 * 1024;

/** HTTP API of the process itself: addresses, health, metrics and administration. */
export interface ProcessApi {
  readonly handler: RequestListener;
  close(): Promise<void>;
}

/**
 * Creates the process API with nest on fastify. The caller server checks first whether a request is
 * for a service, and passes only the others to fastify: its router, request objects and hooks are
 * overhead without benefit for requests that are only proxied.
 * @param parts - Dependencies of the API.
 */
export async function createProcessApi(parts: ApiParts): Promise<ProcessApi> {
  let handler: RequestListener | undefined;
  const adapter = new FastifyAdapter({
    bodyLimit: MAX_ADMIN_BODY_BYTES,
    serverFactory: (listener: RequestListener) => {
      handler = listener;
      return createServer();
    },
  });
  const app = await NestFactory.create<NestFastifyApplication>(createApiModule(parts), adapter, {
    logger: false,
    abortOnError: false,
  });
  app.useGlobalFilters(new ProblemFilter());
  await app.init();
  await adapter.getInstance().ready();
  return { handler: handler as unknown as RequestListener, close: () => app.close() };
}
