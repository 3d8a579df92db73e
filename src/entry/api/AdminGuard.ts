import { createHash, timingSafeEqual } from 'node:crypto';

import type { CanActivate, ExecutionContext } from '@nestjs/common';
import { Inject, Injectable, UnauthorizedException } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';

import type { ApiParts } from './ApiParts.js';
import { API_PARTS } from './ApiParts.js';

function hash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Rejects requests that don't carry the administration token. */
@Injectable()
export class AdminGuard implements CanActivate {
  /** @param parts - Provides the token. */
  constructor(@Inject(API_PARTS) private readonly parts: ApiParts) {}

  /**
   * Returns true if the request carries the token; throws `UnauthorizedException` otherwise.
   * @param context - Provides the request.
   */
  canActivate(context: ExecutionContext): boolean {
    const { authorization } = context.switchToHttp().getRequest<FastifyRequest>().headers;
    const expected = `Bearer ${this.parts.adminToken}`;
    // Hashes have equal length and are compared in constant time, so that the response time reveals
    // nothing about the token.
    if (timingSafeEqual(hash(authorization ?? ''), hash(expected))) return true;
    throw new UnauthorizedException('send the administration token: Authorization: Bearer TOKEN');
  }
}
