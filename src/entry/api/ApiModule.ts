import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';

import { AddressesController } from './AddressesController.js';
import { AdminController } from './AdminController.js';
import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';
import { HealthController } from './HealthController.js';
import { MetricsController } from './MetricsController.js';

@Module({})
class ApiModule {}

/**
 * Creates the nest module of the process API.
 * @param parts - Dependencies of the controllers.
 */
export function createApiModule(parts: ApiParts): DynamicModule {
  return {
    module: ApiModule,
    controllers: [AddressesController, AdminController, HealthController, MetricsController],
    providers: [{ provide: API_PARTS, useValue: parts }],
  };
}
