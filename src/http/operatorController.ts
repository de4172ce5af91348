import { Controller, Get, Header, Inject, Query, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Node } from '../node/createNode.js';
import { createCallFailure } from '../schema/failure.js';
import type { EventPage, NodeStatus } from '../schema/status.js';
import { sendFailure } from './callReply.js';
import { CONTROLLER_CONTEXT } from './httpServer.js';
import type { MetricsRegistry } from './metrics.js';

export interface OperatorContext {
  node: Node;
  metrics: MetricsRegistry;
}

/** Serves operators read-only; they make changes by publishing documents. */
@Controller()
export class OperatorController {
  constructor(@Inject(CONTROLLER_CONTEXT) private readonly context: OperatorContext) {}

  @Get('health')
  getHealth(): { status: string } {
    return { status: 'ok' };
  }

  @Get('ready')
  getReady(@Res() reply: FastifyReply): void {
    const { board } = this.context.node;
    const isReady = board.read('configuration').services.size > 0 && !board.read('calls').isStopping;
    void reply.code(isReady ? 200 : 503).send({ status: isReady ? 'ready' : 'not ready' });
  }

  @Get('status')
  getStatus(): NodeStatus {
    const { board } = this.context.node;
    const { services, appliedOffset, log } = board.read('configuration');
    const limits = board.read('limits');
    const calls = board.read('calls');
    return {
      host: board.read('members').self.id,
      members: [...board.read('members').byId.values()],
      appliedOffset,
      log: { ...log },
      versions: Object.fromEntries([...services].map(([service, entry]) => [service, entry.version])),
      limits: { ...limits },
      inFlight: calls.inFlight,
      dispatched: calls.dispatched.size,
      queued: board.read('queue').length,
      fractions: Object.fromEntries([...board.read('shedding').local].map(([name, state]) => [name, state.fraction])),
    };
  }

  @Get('events')
  getEvents(@Query('from') from: string | undefined, @Res() reply: FastifyReply): void {
    const { ring } = this.context.node.board.read('events');
    const start = Number(from ?? 0);
    if (!Number.isInteger(start) || start < 0) {
      sendFailure(reply, createCallFailure('requestMalformed', `from is "${from}" and must be an integer from 0`));
      return;
    }
    const page: EventPage = { next: ring.end, events: ring.listFrom(start) };
    void reply.send(page);
  }

  @Get('metrics')
  @Header('content-type', 'text/plain; version=0.0.4')
  getMetrics(): Promise<string> {
    return this.context.metrics.renderText();
  }
}
