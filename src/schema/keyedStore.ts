import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** The newest record of one key; without a value the key was dropped. */
export const keyedRecordSchema = Type.Object({
  key: Type.String(),
  value: Type.Optional(Type.Unknown()),
  offset: Type.Integer({ minimum: 0 }),
});
export type KeyedRecord = Static<typeof keyedRecordSchema>;

/** How a read of the platform's store ended. */
export const storeReadSchema = Type.Union([
  /** `next` is the offset after the last record that was read. */
  Type.Object({ type: Type.Literal('records'), records: Type.Array(keyedRecordSchema), next: Type.Integer() }),
  /** The records were deleted; only the newest of each key can be read. */
  Type.Object({ type: Type.Literal('compacted') }),
  Type.Object({ type: Type.Literal('unavailable'), detail: Type.String() }),
]);
export type StoreRead = Static<typeof storeReadSchema>;

/** How a write ended; after `unknown` it may have been done, or be done later. */
export const storeWriteSchema = Type.Union([
  Type.Object({ type: Type.Literal('written') }),
  Type.Object({ type: Type.Literal('refused'), detail: Type.String() }),
  Type.Object({ type: Type.Literal('unknown'), detail: Type.String() }),
]);
export type StoreWrite = Static<typeof storeWriteSchema>;
