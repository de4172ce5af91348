import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** A measured value, its bound, and the values that the baselines of the bench reached. */
export const figureSchema = Type.Object({
  name: Type.String(),
  value: Type.Number(),
  unit: Type.String(),
  bound: Type.Optional(
    Type.Object({ kind: Type.Union([Type.Literal('atLeast'), Type.Literal('atMost')]), value: Type.Number() }),
  ),
  ok: Type.Boolean(),
  baselines: Type.Record(Type.String(), Type.Number()),
});
export type Figure = Static<typeof figureSchema>;

/** Report of one bench run. */
export const benchReportSchema = Type.Object({
  name: Type.String(),
  seed: Type.Integer(),
  environment: Type.Object({
    /** Version of Node.js. */
    node: Type.String(),
    cores: Type.Integer(),
    kind: Type.Union([Type.Literal('fakeClock'), Type.Literal('realProcesses')]),
  }),
  figures: Type.Array(figureSchema),
  ok: Type.Boolean(),
});
export type BenchReport = Static<typeof benchReportSchema>;
