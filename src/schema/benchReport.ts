import { Type } from '@sinclair/typebox';
import type { Static } from '@sinclair/typebox';

/** A measured value with its bound, and the values of the same measure for the baselines of the run. */
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
    node: Type.String(),
    cores: Type.Integer(),
    kind: Type.Union([Type.Literal('fakeClock'), Type.Literal('realProcesses')]),
  }),
  figures: Type.Array(figureSchema),
  ok: Type.Boolean(),
});
export type BenchReport = Static<typeof benchReportSchema>;
