import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import { Catch, HttpException } from '@nestjs/common';
import type { FastifyReply } from 'fastify';

import type { AdapterProblemCode } from '../exchange/problem.js';
import { getProblemHeaders, writeProblemBody } from '../exchange/problem.js';

const PROBLEM_CODES_BY_STATUS = new Map<number, AdapterProblemCode>([
  [401, 'wrong-token'],
  [404, 'not-found'],
  [413, 'body-too-large'],
]);

function getStatus(error: unknown): number {
  if (error instanceof HttpException) return error.getStatus();
  const { statusCode } = error as { statusCode?: number };
  return statusCode ?? 500;
}

/** Answers every error of the process API as problem JSON. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
  /**
   * Answers an error.
   * @param error - The thrown value.
   * @param host - Provides the reply to write to.
   */
  catch(error: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    const status = getStatus(error);
    const problem = {
      status,
      outcome: 'not-run' as const,
      code: PROBLEM_CODES_BY_STATUS.get(status) ?? ('malformed-request' as const),
      detail: status < 500 ? (error as Error).message : 'the entry VM failed to answer',
    };
    const body = writeProblemBody(problem);
    const headers = getProblemHeaders(problem, body.length);
    for (let i = 0; i + 1 < headers.length; i += 2) {
      reply.header(headers[i], headers[i + 1]);
    }
    reply.status(status).send(body);
  }
}
