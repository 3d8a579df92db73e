import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';

/** Serves the process's metrics in the Prometheus text format. */
@Controller('metrics')
export class MetricsController {
  /** @param parts - The process's metrics. */
  constructor(@Inject(API_PARTS) private readonly parts: ApiParts) {}

  /**
   * Gets all metrics.
   * @param reply - The answer.
   */
  @Get()
  async get(@Res({ passthrough: true }) reply: FastifyReply): Promise<string> {
    const { registry } = this.parts.metrics;
    reply.header('content-type', registry.contentType);
    return registry.metrics();
  }
}
