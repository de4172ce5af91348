import { Controller, Inject, Param, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Node } from '../node/createNode.js';
import { createCallFailure } from '../schema/failure.js';
import { parseCallerCall } from './callRequest.js';
import { sendFailure, sendResult } from './callReply.js';
import { SERVED } from './httpServer.js';

const INTERNAL_HEADER = /^hemlock-/;

/** Takes calls from outside callers. */
@Controller('v1')
export class CallerController {
  constructor(@Inject(SERVED) private readonly node: Node) {}

  @Post('call/:service/:operation')
  handleCall(
    @Param('service') service: string,
    @Param('operation') operation: string,
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): void {
    const internal = Object.keys(request.headers).find((name) => INTERNAL_HEADER.test(name));
    if (internal !== undefined) {
      sendFailure(reply, createCallFailure('internalField', `the header ${internal} is not accepted from callers`));
      return;
    }
    const parsed = parseCallerCall(service, operation, request);
    if (parsed.type === 'failed') {
      sendFailure(reply, parsed.failure);
      return;
    }
    const cancel = this.node.handleCallerCall(parsed.call, (result) => {
      sendResult(reply, result);
    });
    reply.raw.once('close', () => {
      if (!reply.raw.writableFinished) cancel();
    });
  }
}
