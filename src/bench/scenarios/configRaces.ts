import { createFakeClock } from '../../core/fakeClock.js';
import { createRandom, generateExponential } from '../../core/random.js';
import { applyEntry, createFoldState } from '../../policy/configurationFold.js';
import type { FoldState } from '../../policy/configurationFold.js';
import type { ChangeRecord } from '../../schema/logRecord.js';
import type { ServiceConfiguration } from '../../schema/serviceConfiguration.js';
import { createFigure } from '../scenario.js';
import type { Scenario } from '../scenario.js';

const OPERATORS = 8;
const EDITS_PER_OPERATOR = 25;
/** Mean time between reading a document and publishing the edited one. */
const MEAN_EDIT_MS = 2000;
/** Mean time between two edits of one operator. */
const MEAN_PAUSE_MS = 20_000;
const SERVICE = 'contracts';

/** Decides about the change at an offset of the log. Returns true if it is reported to its operator as accepted. */
type ChangeDecider = (state: FoldState, offset: number, change: ChangeRecord) => boolean;

const applyToFold: ChangeDecider = (state, offset, change) =>
  applyEntry(state, { offset, appendedAtMs: 0, value: change }).type === 'accepted';

const applyLastWrite: ChangeDecider = (state, offset, change) => {
  const { changeId, operator } = change;
  const document = change.document as ServiceConfiguration;
  state.documents.set(change.service, { version: offset, changeId, operator, document });
  return true;
};

/** Operators concurrently add hosts to one document: each reads it, and writes it back as a whole. */
export const configRaces: Scenario = {
  name: 'config-races',
  description: `${OPERATORS} operators edit one document at the same time`,
  kind: 'fakeClock',
  run: ({ seed }) => {
    const checked = runRaces(seed, applyToFold);
    const last = runRaces(seed, applyLastWrite);
    const label = 'last writer wins';
    return Promise.resolve([
      createFigure('accepted edits that are lost', checked.lost, 'edits', {
        atMost: 0,
        baselines: { [label]: last.lost },
      }),
      createFigure('accepted edits', checked.accepted, 'edits', { baselines: { [label]: last.accepted } }),
      createFigure('records per accepted edit', checked.records / checked.accepted, 'records', {
        baselines: { [label]: last.records / last.accepted },
      }),
    ]);
  },
};

function runRaces(seed: number, decide: ChangeDecider): { lost: number; accepted: number; records: number } {
  const clock = createFakeClock();
  const random = createRandom(seed);
  const state = createFoldState();
  const accepted: string[] = [];
  let records = 0;

  const startEdit = (operator: string, edit: number): void => {
    const host = `${operator}-${edit}`;
    const read = state.documents.get(SERVICE);
    clock.schedule(generateExponential(random, MEAN_EDIT_MS), () => {
      const document = read?.document ?? createFirstDocument();
      const change: ChangeRecord = {
        kind: 'change',
        changeId: `${host}-${records}`,
        service: SERVICE,
        baseVersion: read?.version ?? 0,
        operator,
        document: { ...document, drainedHosts: [...(document.drainedHosts ?? []), host] },
      };
      if (!decide(state, ++records, change)) {
        startEdit(operator, edit);
        return;
      }
      accepted.push(host);
      if (edit + 1 < EDITS_PER_OPERATOR) {
        clock.schedule(generateExponential(random, MEAN_PAUSE_MS), () => {
          startEdit(operator, edit + 1);
        });
      }
    });
  };
  for (let operator = 0; operator < OPERATORS; operator++) startEdit(`o${operator}`, 0);
  while (clock.runNext());
  const finalHosts = state.documents.get(SERVICE)?.document.drainedHosts ?? [];
  return { lost: accepted.filter((host) => !finalHosts.includes(host)).length, accepted: accepted.length, records };
}

function createFirstDocument(): ServiceConfiguration {
  return {
    service: SERVICE,
    operations: { browse: { idempotent: true, priority: 'normal', expectedCostMs: 1, deadlineMs: 1000 } },
    priorities: [{ name: 'normal', worth: 1, guaranteedShare: 0.5 }],
    retryAllowance: 2,
  };
}
