import { Controller, Get, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import { isConfigurationFresh } from '../../core/index.js';
import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';

/** Tells the platform whether the process lives and whether it takes work. */
@Controller()
export class HealthController {
  /** @param parts - The process's state. */
  constructor(@Inject(API_PARTS) private readonly parts: ApiParts) {}

  /** The process lives. */
  @Get('healthz')
  getHealth(): { status: string } {
    return { status: 'ok' };
  }

  /**
   * Whether the process takes work: it has a configuration that it knows to be the
   * latest, is a member of the fleet, and isn't about to stop.
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
