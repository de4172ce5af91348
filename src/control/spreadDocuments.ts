import { computeVersionsDigest } from '../policy/versionsDigest.js';
import { listGateways } from '../policy/gatewayChoice.js';
import type { ConfigurationDigestFrame, Frame } from '../schema/frame.js';
import type { AcceptedDocument } from '../schema/logRecord.js';
import type { ControllerContext } from './context.js';
import type { ConfigurationEntry } from './sections.js';

/** Sends documents and digests of their versions to peers. */
export interface DocumentSpreader {
  /** Pushes news to the own data centre and to one gateway of each other one. */
  spreadDocuments(services: readonly string[], options?: { except?: string }): void;
  /** Compares versions with a gateway and a random peer; a node that has nothing yet also asks a seed. */
  spreadDigest(): void;
  /** Answers a digest with what the sender lacks, or with the own versions. */
  handleDigest(frame: ConfigurationDigestFrame, respond: (frame: Frame) => void): void;
}

/** Keeps a frame below the 2 MiB that a stream takes, with room for one more document. */
const MAX_BATCH_BYTES = 512 * 1024;

/** Creates the spreading of documents over control frames. */
export function createDocumentSpreader(context: ControllerContext): DocumentSpreader {
  const { board, io, random, settings } = context;
  const { services } = board.read('configuration');
  const members = board.read('members');

  const listPeers = (): { local: string[]; remoteGateways: string[][] } => {
    const local: string[] = [];
    const dataCenters = new Set<string>();
    for (const member of members.byId.values()) {
      if (member.dataCenter !== settings.dataCenter) dataCenters.add(member.dataCenter);
      else if (member.id !== settings.host && member.nodeState !== 'down') local.push(member.id);
    }
    const remoteGateways = [...dataCenters].map((dataCenter) => listGateways(members.byId.values(), dataCenter));
    return { local, remoteGateways };
  };
  const isGateway = (): boolean => listGateways(members.byId.values(), settings.dataCenter).includes(settings.host);
  const choose = <Item>(items: readonly Item[]): Item | undefined => items[Math.floor(random() * items.length)];

  const sendDocuments = (names: readonly string[], send: (frame: Frame) => void): void => {
    const { appliedOffset } = board.read('configuration');
    for (const documents of buildBatches(names, services as ReadonlyMap<string, ConfigurationEntry>)) {
      send({ type: 'configuration', appliedOffset, documents });
    }
  };
  const getCompleteUpTo = (): number => {
    const { complete } = board.read('configuration');
    return complete.digest === computeVersionsDigest(services) ? complete.upTo : 0;
  };
  const buildDigest = (options: Pick<ConfigurationDigestFrame, 'isLast' | 'versions'>): ConfigurationDigestFrame => ({
    type: 'configurationDigest',
    digest: computeVersionsDigest(services),
    completeUpTo: getCompleteUpTo(),
    ...options,
  });
  const listVersions = (): Record<string, number> =>
    Object.fromEntries([...services].map(([service, { version }]) => [service, version]));

  return {
    spreadDocuments: (names, { except } = {}) => {
      if (names.length === 0 || !isGateway()) return;
      const { local, remoteGateways } = listPeers();
      const remote = remoteGateways.map((gateways) => choose(gateways));
      const targets = [...local, ...remote].filter((peer) => peer !== undefined && peer !== except) as string[];
      for (const peer of targets) {
        sendDocuments(names, (frame) => {
          io.sendFrame(peer, 'control', frame);
        });
      }
    },
    spreadDigest: () => {
      const { local, remoteGateways } = listPeers();
      const gateways = isGateway()
        ? remoteGateways.flat()
        : listGateways(members.byId.values(), settings.dataCenter).filter((id) => id !== settings.host);
      // A random peer repairs what the gateways cannot, for example while both are paused.
      const peers = [choose(gateways), choose(local)];
      if (services.size === 0) peers.push(choose(settings.seeds));
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
      const mine = buildDigest({ isLast: versions !== undefined, versions: listVersions() });
      if (versions === undefined) {
        respond(mine);
        return;
      }
      const newer = [...services].filter(([service, { version }]) => version > (versions[service] ?? 0));
      sendDocuments(
        newer.map(([service]) => service),
        respond,
      );
      const lacks = Object.entries(versions).some(
        ([service, version]) => version > (services.get(service)?.version ?? 0),
      );
      if (lacks && !isLast) respond(mine);
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
