import {
  BadRequestException,
  Body,
  Controller,
  Get,
  HttpCode,
  Inject,
  Post,
  UseGuards,
} from '@nestjs/common';

import { AdminGuard } from './AdminGuard.js';
import type { FleetSummary, ServiceSummary, TargetSummary } from './adminViews.js';
import { summarizeFleet, summarizeServices, summarizeTargets } from './adminViews.js';
import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';
import { readPushedConfiguration } from './readPushedConfiguration.js';

/**
 * The administration API. Every request needs the administration token; only the publication of a
 * configuration changes state.
 */
@Controller('v1/admin')
@UseGuards(AdminGuard)
export class AdminController {
  /** @param parts - The process's state. */
  constructor(@Inject(API_PARTS) private readonly parts: ApiParts) {}

  /** Gets the fleet as this process sees it. */
  @Get('fleet')
  getFleet(): FleetSummary {
    return summarizeFleet(this.parts.state, this.parts.clock.now());
  }

  /** Gets the services of the configuration in force at this process. */
  @Get('services')
  getServices(): ServiceSummary[] {
    return summarizeServices(this.parts.state);
  }

  /** Gets the targets that this process drives, with the reason for the state of each. */
  @Get('targets')
  getTargets(): TargetSummary[] {
    return summarizeTargets(this.parts.state, this.parts.clock.now());
  }

  /** Gets the generation, zones and service hashes of the configuration in force here. */
  @Get('configuration')
  getConfiguration(): object {
    const { root, current } = this.parts.state.configuration;
    return { generation: current.generation, zones: current.zones, services: root?.services ?? {} };
  }

  /**
   * Accepts a validated configuration from the publishing step.
   * @param body - The configuration root and the service objects.
   */
  @Post('configuration')
  @HttpCode(202)
  pushConfiguration(@Body() body: unknown): { generation: number } {
    const pushed = readPushedConfiguration(body);
    if (typeof pushed === 'string') throw new BadRequestException(pushed);
    this.parts.dispatch({ kind: 'configurationPushed', ...pushed });
    return { generation: this.parts.state.configuration.current.generation };
  }
}
