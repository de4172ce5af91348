import type { Controller } from '../context.js';
import { buildRouteTable } from '../../policy/routeTable.js';
import { isStoreReadByFew } from '../../policy/storeReaders.js';
import { compileSchema } from '../../schema/validate.js';
import { routeConfigurationSchema } from '../../schema/routeConfiguration.js';
import type { RequestContext } from './context.js';
import { readReaderPlace } from './storeReading.js';
import { startTopicWatcher } from './topicWatcher.js';

/** Pause after a read that returned records (ms). It is short, so that each change is applied as soon as possible. */
const READ_PAUSE_MS = 20;
/**
 * Time for which one read waits for a change, as a share of the time within which the change must be in force. Only the
 * end of the wait shows that the connection of a read no longer carries anything.
 */
const READ_WAIT_SHARE = 0.75;
/** The same where few nodes read: it leaves time for the others to hear of the change from them. */
const FEW_READERS_WAIT_SHARE = 0.4;
/** Minimum wait of a read (ms), which limits the calls however short the bound is. */
const MIN_READ_WAIT_MS = 500;

const validator = compileSchema(routeConfigurationSchema);

/** Writes the routes in force: the configuration with the highest version received from the store or a peer. */
export function createRouteController(context: RequestContext): Controller {
  const { board, clock, io } = context;
  const routes = board.claim('routes', 'routeController');
  let stopWatcher = (): void => undefined;

  /** Later readers of a data centre wait much longer, since they hear from the first one as well. */
  const getWaitMs = (): number | undefined => {
    const place = readReaderPlace(board, clock.now());
    const { configurationApplyMs } = board.read('settings').current.bounds;
    if (place === undefined) return undefined;
    const share = isStoreReadByFew(board.read('members').byHost) ? FEW_READERS_WAIT_SHARE : READ_WAIT_SHARE;
    return Math.max(MIN_READ_WAIT_MS, Math.round(share * configurationApplyMs * (place + 1) ** 2));
  };

  routes.handlePosts(({ configuration, source }) => {
    const { section } = routes;
    const { version } = configuration;
    if (version <= section.version) return;
    const inputs = { previous: section.version, routes: configuration.routes.length, source };
    section.table = buildRouteTable(configuration);
    section.version = version;
    section.appliedAtMs = clock.now();
    board.post('decisions', { kind: 'configurationApplied', outcome: `version ${version}`, inputs });
    routes.publishChange();
  });
  return {
    start: () => {
      stopWatcher = startTopicWatcher(context, {
        topic: io.configurationTopic,
        getPauseMs: () => READ_PAUSE_MS,
        getWaitMs,
        apply: (records) => {
          for (const { value, offset } of records) {
            if (validator.isValid(value)) {
              board.post('routes', { configuration: value, source: 'store' });
            } else if (value !== undefined) {
              const [fault] = validator.listFaults(value);
              const inputs = { offset, path: fault?.path ?? '', found: fault?.found ?? '' };
              board.post('decisions', { kind: 'configurationIgnored', outcome: 'not a valid configuration', inputs });
            }
          }
        },
        // Only the watcher of the member topic updates the state of the store.
        reportRead: () => undefined,
        name: 'configuration',
      });
    },
    stop: () => {
      stopWatcher();
    },
  };
}
