import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import { isConfigurationFresh } from '../../core/index.js';
import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';

/** Health and readiness checks for the platform. */
@Controller()
export class HealthController {
  /** @param parts - The process's state. */
  constructor(@Inject(API_PARTS) private readonly parts: ApiParts) {}

  /** Liveness check: succeeds while the process runs. */
  @Get('healthz')
  getHealth(): { status: string } {
    return { status: 'ok' };
  }

  /**
   * Readiness check: the process has a configuration that was recently confirmed to be the latest,
   * is a member of the fleet, and isn't stopping.
   * @param reply - The answer.
   */
  @Get('readyz')
  getReadiness(@Res({ passthrough: true }) reply: FastifyReply): { status: string } {
    const { configuration, fleet } = this.parts.state;
    if (fleet.stopping) return this.refuse(reply, 'stopping');
    if (configuration.current.generation === 0) return this.refuse(reply, 'no configuration yet');
    if (fleet.assignment.epoch === 0) return this.refuse(reply, 'not yet a member of the fleet');
    if (!isConfigurationFresh(this.parts.state, this.parts.clock.now())) {
      return this.refuse(reply, 'no recent word that the configuration is the latest');
    }
    return { status: 'ready' };
  }

  /** @internal */
  private refuse(reply: FastifyReply, status: string): { status: string } {
    reply.status(503);
    return { status };
  }
}
