import { Catch } from '@nestjs/common';
import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { sendFailure } from './callReply.js';
import { describeHttpError } from './httpErrors.js';

/** Sends errors that nestjs and fastify throw (unknown routes, bodies above the limit) as tagged call failures. */
@Catch()
export class FailureFilter implements ExceptionFilter {
  catch(error: unknown, host: ArgumentsHost): void {
    const reply = host.switchToHttp().getResponse<FastifyReply>();
    if (!reply.sent) sendFailure(reply, describeHttpError(error));
  }
}
