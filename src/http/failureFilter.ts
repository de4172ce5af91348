import { Catch } from '@nestjs/common';
import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { sendFailure } from './callReply.js';
import { describeHttpError } from './httpErrors.js';

/** Turns what nestjs and fastify throw (unknown routes, bodies above the limit) into a tagged failure. */
@Catch()
export class FailureFilter implements ExceptionFilter {
  catch(error: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    if (!reply.sent) sendFailure(reply, describeHttpError(error));
  }
}
