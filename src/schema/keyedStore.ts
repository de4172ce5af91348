import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** The newest record of one key; without a value if the key was deleted, with null if the value cannot be read. */
export const keyedRecordSchema = Type.Object({
  key: Type.String(),
  value: Type.Optional(Type.Unknown()),
  offset: Type.Integer({ minimum: 0 }),
});
export type KeyedRecord = Static<typeof keyedRecordSchema>;

/** The era that the store named in its response; it rises with each restore from an older copy. */
const era = Type.Optional(Type.Integer({ minimum: 0 }));

/** Result of a read from the platform's store. */
export const storeReadSchema = Type.Union([
  /** `next` is the offset after the last returned record. */
  Type.Object({ type: Type.Literal('records'), records: Type.Array(keyedRecordSchema), next: Type.Integer(), era }),
  /** The store does not have the requested offset; only the newest record of each key can be read. */
  Type.Object({ type: Type.Literal('compacted'), era }),
  Type.Object({ type: Type.Literal('unavailable'), detail: Type.String(), era }),
  /** The store did not respond in time. Its connection may carry nothing any more, so that a later read needs a new one. */
  Type.Object({ type: Type.Literal('unanswered'), detail: Type.String() }),
]);
export type StoreRead = Static<typeof storeReadSchema>;

/** Result of a write; after `unknown` the write may have been applied, or be applied later. */
export const storeWriteSchema = Type.Union([
  /** `offset` is that of the record; absent if the store does not tell it. */
  Type.Object({ type: Type.Literal('written'), offset: Type.Optional(Type.Integer({ minimum: 0 })), era }),
  Type.Object({ type: Type.Literal('refused'), detail: Type.String(), era }),
  /** The store has accepted a write of the same key with a higher fencing token. */
  Type.Object({ type: Type.Literal('fenced'), detail: Type.String(), era }),
  Type.Object({ type: Type.Literal('unknown'), detail: Type.String() }),
]);
export type StoreWrite = Static<typeof storeWriteSchema>;
