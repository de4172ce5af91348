import type { Controller } from '../context.js';
import { buildRouteTable } from '../../policy/routeTable.js';
import { isStoreReadByFew } from '../../policy/storeReaders.js';
import { compileSchema } from '../../schema/validate.js';
import { routeConfigurationSchema } from '../../schema/routeConfiguration.js';
import { reportInternalError } from './containment.js';
import type { RequestContext } from './context.js';
import type { RequestPosts } from './sections.js';
import { createFirstConfiguration } from './firstConfiguration.js';
import { isReadingTurnedAway, readReaderPlace } from './storeReading.js';
import { startTopicWatcher, UNREAD_LIMIT_MS } from './topicWatcher.js';

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
/**
 * Time after which a node reads the configuration itself while the store turns away the readers of its data centre (ms). It
 * grows with the hosts, so that a store that turns all of them away gets no more than 20 reads a second of a data centre.
 */
const MIN_UNREAD_LIMIT_MS = 1000;
const UNREAD_LIMIT_PER_HOST_MS = 50;

const validator = compileSchema(routeConfigurationSchema);

/** Writes the routes in force: the configuration with the highest version received from the store or a peer. */
export function createRouteController(context: RequestContext): Controller {
  const { board, clock, io } = context;
  const routes = board.claim('routes', 'routeController');
  let stopWatcher = (): void => undefined;
  let wasTurnedAway = false;

  /** Later readers of a data centre wait much longer, since they hear from the first one as well. */
  const getWaitMs = (): number | undefined => {
    const place = readReaderPlace(board, clock.now());
    const { configurationApplyMs } = board.read('settings').current.bounds;
    if (place === undefined) return undefined;
    const share = isStoreReadByFew(board.read('members').byHost) ? FEW_READERS_WAIT_SHARE : READ_WAIT_SHARE;
    return Math.max(MIN_READ_WAIT_MS, Math.round(share * configurationApplyMs * (place + 1) ** 2));
  };

  const reportTurnedAway = (isTurnedAway: boolean): void => {
    if (wasTurnedAway === isTurnedAway) return;
    wasTurnedAway = isTurnedAway;
    const outcome = isTurnedAway ? 'reads itself: the readers are turned away' : 'the readers are served again';
    board.post('decisions', { kind: 'storeChanged', outcome, inputs: { topic: 'configuration' } });
  };
  /** While the readers are turned away, this node reads itself: the store may serve it. */
  const getUnreadLimitMs = (): number => {
    const { self, byHost } = board.read('members');
    const isTurnedAway = isReadingTurnedAway(board, clock.now());
    reportTurnedAway(isTurnedAway);
    if (!isTurnedAway) return UNREAD_LIMIT_MS;
    let hosts = 1;
    for (const { dataCenter } of byHost.values()) if (dataCenter === self.dataCenter) hosts++;
    return Math.max(MIN_UNREAD_LIMIT_MS, hosts * UNREAD_LIMIT_PER_HOST_MS);
  };
  const apply = ({ configuration, source }: RequestPosts['routes']): void => {
    const { section } = routes;
    const { version } = configuration;
    if (version <= section.version) return;
    const inputs = { previous: section.version, routes: configuration.routes.length, source };
    section.table = buildRouteTable(configuration);
    section.version = version;
    section.appliedAtMs = clock.now();
    board.post('decisions', { kind: 'configurationApplied', outcome: `version ${version}`, inputs });
    routes.publishChange();
  };
  const first = createFirstConfiguration(context, apply);
  const recordStoreState = (isReached: boolean): void => {
    if (routes.section.isStoreLost === !isReached) return;
    routes.section.isStoreLost = !isReached;
    routes.publishChange();
  };

  routes.handlePosts((post) => {
    if (routes.section.table === undefined) first.add(post);
    else apply(post);
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
              try {
                board.post('routes', { configuration: value, source: 'store' });
              } catch (error) {
                reportInternalError(board, { unit: 'store record', error });
              }
            } else if (value !== undefined) {
              const [fault] = validator.listFaults(value);
              const inputs = { offset, path: fault?.path ?? '', found: fault?.found ?? '' };
              board.post('decisions', { kind: 'configurationIgnored', outcome: 'not a valid configuration', inputs });
            }
          }
        },
        getUnreadLimitMs,
        reportRead: recordStoreState,
        name: 'configuration',
      });
    },
    stop: () => {
      stopWatcher();
      first.stop();
    },
  };
}
