import { Controller, Inject, Param, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Node } from '../node/createNode.js';
import type { SystemFailure } from '../schema/failure.js';
import { parseAnnouncement } from '../schema/member.js';
import { getFirstValue, parseCallerCall } from './callRequest.js';
import { cancelWhenClosed, sendFailure, sendResult } from './callReply.js';
import { CONTROLLER_CONTEXT } from './httpServer.js';
import { parseJsonBody } from './parseJsonBody.js';

/** Serves the target on this host: its announcements and its downstream calls. */
@Controller('v1')
export class LocalController {
  constructor(@Inject(CONTROLLER_CONTEXT) private readonly node: Node) {}

  @Post('announce')
  handleAnnouncement(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const parsed = parseAnnouncement(parseJsonBody(request.body));
    if (parsed.type === 'invalid') {
      const failure: SystemFailure = {
        kind: 'announcementInvalid',
        message: 'the announcement of the target is malformed',
        faults: parsed.faults,
      };
      void reply.code(400).send({ failure });
      return;
    }
    this.node.announceTarget(parsed.announcement);
    void reply.code(204).send();
  }

  @Post('call/:service/:operation')
  handleCall(
    @Param('service') service: string,
    @Param('operation') operation: string,
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): void {
    const parsed = parseCallerCall(service, operation, request);
    if (parsed.type === 'failed') {
      sendFailure(reply, parsed.failure);
      return;
    }
    const token = getFirstValue(request.headers['hemlock-call']);
    const call = token === undefined ? parsed.call : { ...parsed.call, token };
    const cancel = this.node.handleDownstreamCall(call, (result) => {
      sendResult(reply, result);
    });
    cancelWhenClosed(reply, cancel);
  }
}
