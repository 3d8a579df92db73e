import {
  BadRequestException,
  Controller,
  Get,
  Inject,
  NotFoundException,
  Query,
} from '@nestjs/common';

import type { AddressAnswer } from '../../core/index.js';
import { getAddresses } from '../../core/index.js';
import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';

/** Serves the list of entry VMs that callers should use. */
@Controller('v1/addresses')
export class AddressesController {
  /** @param parts - The process's state. */
  constructor(@Inject(API_PARTS) private readonly parts: ApiParts) {}

  /**
   * Gets the entry VMs to use for a service, in order of preference.
   * @param service - Name of the service.
   * @param zone - Availability zone of the caller, if it has one.
   */
  @Get()
  get(@Query('service') service?: string, @Query('zone') zone?: string): AddressAnswer {
    if (typeof service !== 'string' || service === '') {
      throw new BadRequestException('name the service: /v1/addresses?service=NAME');
    }
    const query = typeof zone === 'string' && zone !== '' ? { service, zone } : { service };
    const answer = getAddresses(this.parts.state, query, Math.random);
    if (answer === undefined) throw new NotFoundException(`no service is called "${service}"`);
    return answer;
  }
}
