import { applyEntry, createFoldState } from '../policy/configurationFold.js';
import type { AcceptedDocument, LogPage } from '../schema/logRecord.js';
import { validateServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { ServiceConfiguration } from '../schema/serviceConfiguration.js';
import type { Controller, ControllerContext } from './context.js';

const READ_PERIOD_MS = 500;

/** Writes the documents in force, from the platform's log and from what peers send. */
export function createConfigurationController(context: ControllerContext): Controller {
  const { board, clock, io } = context;
  const configuration = board.claim('configuration', 'configurationController');
  const { services } = configuration.section;
  const fold = createFoldState();
  let isStopped = false;

  const putInForce = (service: string, version: number, document: ServiceConfiguration): boolean => {
    if ((services.get(service)?.version ?? 0) >= version) return false;
    services.set(service, { version, document });
    board.post('events', { kind: 'configurationApplied', service, data: { version } });
    return true;
  };
  const applyDocuments = (documents: readonly AcceptedDocument[]): void => {
    const valid = documents.filter(({ document }) => validateServiceConfiguration(document).length === 0);
    const changed = valid.filter(({ service, version, document }) =>
      putInForce(service, version, document as ServiceConfiguration),
    );
    if (changed.length > 0) configuration.publishChange();
  };
  configuration.handlePosts((post) => {
    applyDocuments(post.documents);
  });

  const applyPage = (page: LogPage): void => {
    let isChanged = false;
    for (const entry of page.entries) {
      const verdict = applyEntry(fold, entry);
      if (verdict.type !== 'accepted') continue;
      const folded = fold.documents.get(verdict.change.service);
      if (folded !== undefined)
        isChanged = putInForce(verdict.change.service, folded.version, folded.document) || isChanged;
    }
    configuration.section.appliedOffset = fold.appliedOffset;
    if (isChanged) configuration.publishChange();
  };
  const readNext = (): void => {
    if (isStopped) return;
    io.readLog?.(fold.appliedOffset + 1, (outcome) => {
      if (outcome.type === 'page') applyPage(outcome.page);
      clock.schedule(READ_PERIOD_MS, readNext);
    });
  };
  return {
    start: readNext,
    stop: () => {
      isStopped = true;
    },
  };
}
