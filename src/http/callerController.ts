import { Controller, Inject, Param, Post, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Node } from '../node/createNode.js';
import { createCallFailure } from '../schema/failure.js';
import type { TicketAnswer } from '../schema/ticket.js';
import { ticketRequestValidator } from '../schema/ticket.js';
import { formatFault } from '../schema/validate.js';
import { hasTicket, parseCallerCall } from './callRequest.js';
import { cancelWhenClosed, sendFailure, sendResult } from './callReply.js';
import { CONTROLLER_CONTEXT } from './httpServer.js';
import { parseJsonBody } from './parseJsonBody.js';

const INTERNAL_HEADER = /^hemlock-/;

/** Serves external callers: their calls and their requests for tickets. */
@Controller('v1')
export class CallerController {
  constructor(@Inject(CONTROLLER_CONTEXT) private readonly node: Node) {}

  @Post('call/:service/:operation')
  handleCall(
    @Param('service') service: string,
    @Param('operation') operation: string,
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
  ): void {
    const internal = Object.keys(request.headers).find((name) => INTERNAL_HEADER.test(name));
    if (internal !== undefined) {
      const options = hasTicket(request) ? ({ ran: 'unknown' } as const) : {};
      const message = `the header ${internal} is not accepted from callers`;
      sendFailure(reply, createCallFailure('internalField', message, options));
      return;
    }
    const parsed = parseCallerCall(service, operation, request);
    if (parsed.type === 'failed') {
      sendFailure(reply, hasTicket(request) ? { ...parsed.failure, ran: 'unknown' } : parsed.failure);
      return;
    }
    const cancel = this.node.handleCallerCall(parsed.call, (result) => {
      sendResult(reply, result);
    });
    cancelWhenClosed(reply, cancel);
  }

  @Post('tickets')
  handleTicketRequest(@Req() request: FastifyRequest, @Res() reply: FastifyReply): void {
    const value = parseJsonBody(request.body);
    if (!ticketRequestValidator.isValid(value)) {
      const faults = ticketRequestValidator.listFaults(value).map(formatFault).join('; ');
      sendFailure(reply, createCallFailure('requestMalformed', `cannot issue tickets: ${faults}`));
      return;
    }
    const tickets = this.node.issueTickets(value.count);
    if (tickets.length === 0) {
      sendFailure(reply, createCallFailure('stopping', 'this node is stopping; request tickets from another node'));
      return;
    }
    const answer: TicketAnswer = { tickets };
    void reply.code(200).header('content-type', 'application/json').send(JSON.stringify(answer));
  }
}
