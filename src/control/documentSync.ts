import { computeVersionsDigest } from '../policy/versionsDigest.js';
import { selectGateways } from '../policy/overlay.js';
import type { ConfigurationDigestFrame, ConfigurationFrame, Frame } from '../schema/frame.js';
import type { AcceptedDocument } from '../schema/logRecord.js';
import type { ControllerContext } from './context.js';
import type { ConfigurationEntry } from './sections.js';

/** Broadcasts documents, and compares their versions with peers to repair lost broadcasts. */
export interface DocumentSync {
  /** Broadcasts documents along the control links, except to the peer that sent them. */
  broadcastDocuments(services: readonly string[], options?: { except?: string }): void;
  /** Sends a digest of the versions to a gateway and a random neighbour, and to a seed if there are no documents. */
  sendDigests(): void;
  /** Responds to a digest with the documents that the sender lacks, or with the versions of this node. */
  handleDigest(frame: ConfigurationDigestFrame, respond: (frame: Frame) => void): void;
}

/**
 * Maximum size of a batch of several documents, in characters of JSON; a larger document is sent in a batch of its own.
 * Well below the frame limit of 2 MiB.
 */
const MAX_BATCH_BYTES = 512 * 1024;

/** Creates the synchronization of documents over control frames. */
export function createDocumentSync(context: ControllerContext): DocumentSync {
  const { board, io, random, settings } = context;
  const { services } = board.read('configuration');
  const members = board.read('members');
  const links = board.read('links');

  const selectRandom = <Item>(items: readonly Item[]): Item | undefined => items[Math.floor(random() * items.length)];

  const sendDocuments = (names: readonly string[], send: (frame: ConfigurationFrame) => void): void => {
    const { appliedOffset } = board.read('configuration');
    for (const documents of buildBatches(names, services as ReadonlyMap<string, ConfigurationEntry>)) {
      send({ type: 'configuration', appliedOffset, documents });
    }
  };
  /** Returns the log offset up to which the local documents are known to be complete; 0 if they changed since. */
  const getCompleteUpTo = (): number => {
    const { complete } = board.read('configuration');
    return complete.digest === computeVersionsDigest(services) ? complete.upTo : 0;
  };
  /** Builds a digest. With `isLast` the receiver sends its newer documents, but no digest in response. */
  const buildDigest = (options: Pick<ConfigurationDigestFrame, 'isLast' | 'versions'>): ConfigurationDigestFrame => ({
    type: 'configurationDigest',
    digest: computeVersionsDigest(services),
    completeUpTo: getCompleteUpTo(),
    ...options,
  });
  const listVersions = (): Record<string, number> =>
    Object.fromEntries([...services].map(([service, { version }]) => [service, version]));

  return {
    broadcastDocuments: (names, { except } = {}) => {
      sendDocuments(names, (frame) => {
        const versions = frame.documents.map(({ service, version }) => `${service}:${version}`);
        const updateId = `configuration ${versions.join(' ')}`;
        board.post('links', { type: 'broadcast', frame, updateId, ...(except === undefined ? {} : { from: except }) });
      });
    },
    sendDigests: () => {
      const neighbours = [...links.neighbours];
      const remote = neighbours.flatMap(([id, { isLocal }]) => (isLocal ? [] : [id]));
      const ring = members.rings.get(settings.dataCenter) ?? [];
      const gateways = links.isGateway ? remote : selectGateways(ring).filter((id) => id !== settings.host);
      // The random neighbour is a fallback for when the gateways cannot respond, for example while both are paused.
      const peers = [selectRandom(gateways), selectRandom(neighbours)?.[0]];
      if (services.size === 0) peers.push(selectRandom(settings.seeds));
      for (const peer of peers) {
        if (peer === undefined) continue;
        io.sendFrame(peer, 'control', buildDigest({ isLast: false }));
      }
    },
    handleDigest: (frame, respond) => {
      const { versions, isLast } = frame;
      if (frame.digest === computeVersionsDigest(services)) {
        if (!isLast && getCompleteUpTo() > frame.completeUpTo) respond(buildDigest({ isLast: true }));
        return;
      }
      const ownDigest = buildDigest({ isLast: versions !== undefined, versions: listVersions() });
      if (versions === undefined) {
        respond(ownDigest);
        return;
      }
      const newer = [...services].filter(([service, { version }]) => version > (versions[service] ?? 0));
      sendDocuments(
        newer.map(([service]) => service),
        respond,
      );
      const isOutdated = Object.entries(versions).some(
        ([service, version]) => version > (services.get(service)?.version ?? 0),
      );
      if (isOutdated && !isLast) respond(ownDigest);
    },
  };
}

function buildBatches(
  names: readonly string[],
  services: ReadonlyMap<string, ConfigurationEntry>,
): AcceptedDocument[][] {
  const batches: AcceptedDocument[][] = [];
  let bytes = Infinity;
  for (const service of names) {
    const entry = services.get(service);
    if (entry === undefined) continue;
    const size = JSON.stringify(entry.document).length;
    if (bytes + size > MAX_BATCH_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    bytes += size;
    batches.at(-1)?.push({ service, ...entry });
  }
  return batches;
}
