import { Type } from '@sinclair/typebox';

/**
 * Part of a start line or header, as read from a connection: bytes as Latin-1, without those that end the line. What the
 * parser of a connection lets through must be valid here, since peers close a link on which an invalid frame arrives.
 */
export const headTextSchema = Type.String({ pattern: '^[\\x01-\\x09\\x0b\\x0c\\x0e-\\xff]*$' });

/** Id of a target. It stands in a header of each request that is sent to it, so it has visible ASCII characters only. */
export const targetIdSchema = Type.String({
  pattern: '^[!-~]{1,200}$',
  description: 'up to 200 visible ASCII characters',
});

/** Name that stands in a header; characters beyond Latin-1 are written as UTF-8. */
export const headerLabelSchema = Type.String({
  pattern: '^[^\\x00-\\x1f\\x7f]+$',
  description: 'text without control characters',
});
