import * as fc from 'fast-check';

const SERVICES = 3;
const OPERATORS = 3;
/** Two data centres of four hosts each. */
export const HOSTS = ['d1-0', 'd1-1', 'd1-2', 'd1-3', 'd2-0', 'd2-1', 'd2-2', 'd2-3'] as const;
export const DATA_CENTERS = ['d1', 'd2'] as const;
/** Values of `place`. */
const HOSTS_AND_DATA_CENTERS = [...DATA_CENTERS, ...HOSTS] as const;

const service = fc.integer({ min: 0, max: SERVICES - 1 });
const operator = fc.integer({ min: 0, max: OPERATORS - 1 });
const host = fc.constantFrom(...HOSTS);

/** One step of a run: an operation of an operator, a fault, or the passing of time. */
const action = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('read' as const), operator }) },
  {
    weight: 10,
    arbitrary: fc.record({
      type: fc.constant('publish' as const),
      operator,
      service,
      isBroken: fc.nat(9).map((value) => value === 0),
      isRepeated: fc.nat(3).map((value) => value === 0),
      // Added to the version that the operator read last: mostly correct; 1 and 40 usually give a wrong one.
      baseOffset: fc.constantFrom(0, 0, 0, 0, 0, 1, 40),
    }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('repeatOld' as const), index: fc.nat(30) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('garbage' as const), form: fc.nat(4) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('wrongSnapshot' as const), form: fc.nat(1), host }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('outage' as const), isDown: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('slow' as const), delayMs: fc.constantFrom(5, 800, 4000) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('loseAnswers' as const), count: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('loseFrames' as const), count: fc.nat(20) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('cutLog' as const),
      place: fc.constantFrom(...HOSTS_AND_DATA_CENTERS),
      isCut: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant('cutLink' as const), isCut: fc.boolean(), oneWay: fc.boolean() }),
  },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('kill' as const), host }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('start' as const), host }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('pause' as const), host }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('resume' as const), host }) },
  {
    weight: 12,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      durationMs: fc.constantFrom(20, 300, 1000, 3000, 8000, 30_000, 70_000),
    }),
  },
);

export const controlRun = fc.record({
  seed: fc.nat(2 ** 30),
  actions: fc.array(action, { minLength: 5, maxLength: 40, size: 'max' }),
});
export type ControlRun = typeof controlRun extends fc.Arbitrary<infer Run> ? Run : never;
export type ControlAction = ControlRun['actions'][number];
