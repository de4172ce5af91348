import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';
import { compileSchema } from './validate.js';

export const MAX_TICKETS_AT_ONCE = 100;

/** Request of a caller for tickets. */
export const ticketRequestSchema = Type.Object(
  {
    count: Type.Integer({
      minimum: 1,
      maximum: MAX_TICKETS_AT_ONCE,
      description: `an integer from 1 to ${MAX_TICKETS_AT_ONCE}`,
    }),
  },
  { additionalProperties: false, description: 'an object with count' },
);
export type TicketRequest = Static<typeof ticketRequestSchema>;

/** Issued tickets; each is for one request. */
export const ticketAnswerSchema = Type.Object({ tickets: Type.Array(Type.String()) });
export type TicketAnswer = Static<typeof ticketAnswerSchema>;

export const ticketRequestValidator = compileSchema(ticketRequestSchema);
