import type { Controller } from '../context.js';
import { compareHeartbeats, isSameStart } from '../../policy/heartbeatOrder.js';
import { isSenderAlive, updateSeries } from '../../policy/heartbeatSeries.js';
import type { HeartbeatSeries } from '../../policy/heartbeatSeries.js';
import { findPublishedTargetFault, findTargetFault, isTargetId } from '../../policy/ownTarget.js';
import { findFurthestPhase, isFurtherLeaving } from '../../policy/departures.js';
import type { TargetStart } from '../../policy/departures.js';
import type { Departure, Heartbeat, PublishedTarget, TargetPhase } from '../../schema/nodeMember.js';
import { reportInternalError } from './containment.js';
import type { RequestContext } from './context.js';
import { createTargetEjection } from './targetEjection.js';
import { createTargetRate } from './targetRate.js';
import { createTargetStarts } from './targetStarts.js';
import type { HeartbeatPost, LeavePost } from './requestPosts.js';
import { isHistoryKnown, RESTORE_WAIT_MS } from './hostHistory.js';
import type { TargetNotice } from './runPort.js';
import { buildPublishedTarget } from './targetState.js';

/** Writes the state of the local target, from heartbeats, leaves and the state that an earlier process published. */
export function createTargetController(context: RequestContext): Controller {
  const { board, clock } = context;
  const target = board.claim('target', 'targetController');
  const { section } = target;
  /** Id of the last published target that was not restored. */
  let foreignTarget: string | undefined;
  /** True once the target answered since this process knows it. */
  let hasAnswered = false;
  const starts = createTargetStarts(context, section);
  /** Heartbeats that were ignored as older than the last accepted one. */
  let ignored: HeartbeatSeries | undefined;
  /** The last heartbeat that may be stale, since the history is not known yet; the next one in order confirms it. */
  let unconfirmed: { id: string; heartbeat: Heartbeat } | undefined;

  const report = (outcome: string, inputs: Record<string, string | number | undefined>): void => {
    board.post('decisions', { kind: 'targetChanged', outcome, inputs });
  };
  const publish = (): void => {
    // First, so that an error in a subscriber does not keep the record from what is acknowledged next.
    const published = buildPublishedTarget(section);
    board.post('members', { type: 'publishTarget', target: published, departures: starts.takeDepartures() });
    target.publishChange();
  };
  const rate = createTargetRate(context, { section, publish });
  const enterPhase = (phase: TargetPhase, reason: string): void => {
    section.phase = phase;
    const { id, sequence, service, address } = section;
    report(phase, { target: id, sequence, service, address, reason });
  };
  const ejection = createTargetEjection(context, {
    section,
    publishChange: () => {
      target.publishChange();
    },
    remove: (reason) => {
      enterPhase('none', reason);
      publish();
    },
  });
  /** Acknowledges that the target leaves once the store has that, since it binds all later processes of this host. */
  const acknowledgeLeaving = (acknowledge: () => void): void => {
    board.post('members', { type: 'whenDurable', run: acknowledge });
  };
  const replaceStart = (id: string, startedAtMs: number): void => {
    if (isSameStart(section, id, startedAtMs)) return;
    starts.recordReplaced();
    rate.reset();
    hasAnswered = false;
    section.id = id;
    section.startedAtMs = startedAtMs;
    section.sequence = -1;
  };
  const adopt = (id: string, heartbeat: Heartbeat): void => {
    replaceStart(id, heartbeat.startedAtMs);
    section.service = heartbeat.service;
    section.address = heartbeat.address;
    section.slots = heartbeat.slots;
    section.ejectedUntilMs = 0;
  };
  const isConfirmed = (id: string, heartbeat: Heartbeat): boolean => {
    if (isHistoryKnown(board, clock.now())) return true;
    const previous = unconfirmed;
    unconfirmed = { id, heartbeat };
    return previous?.id === id && compareHeartbeats(previous.heartbeat, heartbeat) < 0;
  };
  /** Refuses heartbeats that name no target of this host, so that they cannot take the place of its target. */
  const checkHeartbeat = ({ id, heartbeat, acknowledge, refuse }: HeartbeatPost): void => {
    const fault = findTargetFault({ ...heartbeat, id }, board.read('settings').current);
    if (fault === undefined) {
      receiveHeartbeat(id, heartbeat, acknowledge);
      return;
    }
    const { service, address } = heartbeat;
    const inputs = { target: id, service, address, fault };
    board.post('decisions', { kind: 'heartbeatIgnored', outcome: 'not the target of this host', inputs });
    refuse(fault);
  };
  /** True if the real target goes on sending while a message of another sender has taken its place. */
  const isFromLivingSender = (id: string, heartbeat: Heartbeat): boolean => {
    // Of a target that was known by its leave only, all heartbeats were sent before the leave.
    if (id === section.id && section.address === '') return false;
    const nowMs = clock.now();
    const { heartbeatMs } = board.read('settings').current;
    ignored = updateSeries(ignored, { id, heartbeat, nowMs });
    return isSenderAlive(ignored, { nowMs, heartbeatMs, lastAcceptedMs: section.lastHeartbeatMs });
  };
  /** Handles a heartbeat that was sent before the last accepted one, by the times that their senders name. */
  const handleOlder = (id: string, heartbeat: Heartbeat, acknowledge: () => void): void => {
    const { phase } = section;
    if (heartbeat.state === 'draining' && isSameStart(section, id, heartbeat.startedAtMs)) {
      // A start that drains never stops doing so, whatever the order in which its heartbeats arrive.
      if (phase === 'ready') {
        enterPhase('draining', 'older heartbeat');
        publish();
      }
      acknowledgeLeaving(acknowledge);
      return;
    }
    const inputs = { target: id, sequence: heartbeat.sequence, known: section.id, knownSequence: section.sequence };
    board.post('decisions', { kind: 'heartbeatIgnored', outcome: 'older than the last accepted heartbeat', inputs });
    if (heartbeat.state === 'ready') acknowledge();
    // While requests are sent under this id, a drain that is not obeyed is not acknowledged either: the sender may be the real target.
    else if (id !== section.id || phase !== 'ready') recordDeparture({ id, ...heartbeat }, 'draining', acknowledge);
  };
  /** Remembers the leave of a start that is not in place, so that no later message takes it into use. */
  const recordDeparture = (start: TargetStart, phase: Departure['phase'], acknowledge: () => void): void => {
    if (starts.recordDeparture(start, phase)) {
      report('leave of another start', { target: start.id, startedAtMs: start.startedAtMs, known: section.id });
      publish();
    }
    acknowledgeLeaving(acknowledge);
  };
  const receiveHeartbeat = (id: string, heartbeat: Heartbeat, acknowledge: () => void): void => {
    const isKnown = isSameStart(section, id, heartbeat.startedAtMs);
    if (section.id !== '' && !starts.isNext(id, heartbeat) && !isFromLivingSender(id, heartbeat)) {
      handleOlder(id, heartbeat, acknowledge);
      return;
    }
    const departure = starts.findDeparture({ id, startedAtMs: heartbeat.startedAtMs });
    if (!isKnown && heartbeat.state === 'ready' && departure === undefined) {
      if (!isConfirmed(id, heartbeat)) {
        acknowledge();
        return;
      }
    }
    const previousPhase = isKnown ? section.phase : 'none';
    if (!isKnown && section.phase === 'ready')
      board.post('quarantine', { type: 'targetCrashed', targetId: section.id });
    adopt(id, heartbeat);
    section.sequence = heartbeat.sequence;
    section.lastHeartbeatMs = clock.now();
    section.coldUntilMs = clock.now() + heartbeat.coldLeftMs;
    const phase = findFurthestPhase([heartbeat.state, previousPhase, departure?.phase ?? 'none']);
    if (phase !== previousPhase) {
      enterPhase(phase, 'heartbeat');
      publish();
    }
    if (phase === 'ready') acknowledge();
    else acknowledgeLeaving(acknowledge);
  };
  const receiveLeave = ({ id, startedAtMs: namedStartMs, acknowledge }: LeavePost): void => {
    const { previousTarget } = board.read('members');
    if (section.id === '' && previousTarget?.id === id) restoreTarget(previousTarget);
    if (!isTargetId(id)) {
      board.post('decisions', { kind: 'faultFound', outcome: 'leave with an unusable id', inputs: { target: id } });
      acknowledge();
      return;
    }
    if (namedStartMs === undefined && starts.mayLeaveLate(id)) {
      report('leave of an earlier or the present start', { target: id, known: section.startedAtMs });
      return;
    }
    if (section.id !== id) {
      // Heartbeats that the target sent before its leave may arrive later.
      recordDeparture({ id, startedAtMs: namedStartMs ?? clock.wallTime() }, 'left', acknowledge);
      return;
    }
    const leavingStartMs = namedStartMs ?? section.startedAtMs;
    if (leavingStartMs < section.startedAtMs) {
      // If another sender named the later start, requests under this id still reach the target that leaves.
      const isObeyed = section.phase !== 'ready';
      recordDeparture({ id, startedAtMs: leavingStartMs }, 'left', isObeyed ? acknowledge : () => undefined);
      return;
    }
    const isKnown = leavingStartMs === section.startedAtMs;
    replaceStart(id, leavingStartMs);
    if (!isKnown || section.phase !== 'left') {
      enterPhase('left', 'leave');
      publish();
    }
    acknowledgeLeaving(acknowledge);
  };
  const restoreTarget = (previous: PublishedTarget): void => {
    const fault = findPublishedTargetFault(previous, board.read('settings').current);
    if (fault !== undefined) {
      reportForeignTarget(previous, fault);
      return;
    }
    section.id = previous.id;
    section.startedAtMs = previous.startedAtMs;
    section.sequence = previous.sequence;
    section.service = previous.service;
    section.address = previous.address;
    section.slots = previous.slots;
    rate.restore(previous);
    section.lastHeartbeatMs = clock.now();
    const departure = starts.findDeparture(previous);
    enterPhase(findFurthestPhase([previous.phase, departure?.phase ?? 'none']), 'published by an earlier process');
    publish();
  };
  const reportForeignTarget = ({ id, service, address }: PublishedTarget, fault: string): void => {
    if (foreignTarget === id) return;
    foreignTarget = id;
    const inputs = { target: id, service, address, fault };
    board.post('decisions', { kind: 'faultFound', outcome: 'published target not restored', inputs });
  };
  /** A peer that was not reached at first may know that the start in place has left. */
  const applyDeparture = (): void => {
    const departure = starts.findDeparture(section);
    if (departure === undefined || !isFurtherLeaving(departure.phase, section.phase)) return;
    enterPhase(departure.phase, 'acknowledged by an earlier process');
    publish();
  };
  const restorePreviousTarget = (): void => {
    if (section.id !== '') applyDeparture();
    const { previousTarget } = board.read('members');
    if (previousTarget === undefined || previousTarget.id === '') return;
    if (section.id === '') {
      if (isHistoryKnown(board, clock.now())) restoreTarget(previousTarget);
      return;
    }
    if (!isSameStart(section, previousTarget.id, previousTarget.startedAtMs)) return;
    if (hasAnswered || section.ratePerSecond === previousTarget.ratePerSecond) return;
    rate.restore(previousTarget);
    target.publishChange();
  };
  const receiveNotice = (notice: TargetNotice, sentAtMs: number): void => {
    hasAnswered = true;
    starts.recordAnswer();
    rate.observe(notice, sentAtMs);
    if (!notice.isLeaving || section.phase !== 'ready') return;
    enterPhase('draining', 'named in an answer');
    publish();
  };
  const receiveRefutation = (id: string, startedAtMs: number): void => {
    if (starts.recordRefuted(id, startedAtMs)) report('refuted', { target: id, address: section.address });
  };
  /** Handles a message of a target; after an error it is not acknowledged, and the target sends it again. */
  const receiveMessage = (post: HeartbeatPost | LeavePost): void => {
    try {
      if (post.type === 'heartbeat') checkHeartbeat(post);
      else receiveLeave(post);
    } catch (error) {
      reportInternalError(board, { unit: 'heartbeat', error });
    }
  };
  target.handlePosts((post) => {
    if (post.type === 'heartbeat' || post.type === 'leave') receiveMessage(post);
    else if (post.type === 'answered') ejection.restore();
    else if (post.type === 'suspect') ejection.probe();
    else if (post.type === 'refuted') receiveRefutation(post.id, post.startedAtMs);
    else if (post.type === 'notice') {
      if (isSameStart(section, post.id, post.startedAtMs)) receiveNotice(post.notice, post.sentAtMs);
    } else ejection.eject(post.reason, post.isDown);
  });
  return {
    start: () => {
      board.subscribe('members', restorePreviousTarget);
      board.subscribe('links', restorePreviousTarget);
      clock.schedule(RESTORE_WAIT_MS + 1, restorePreviousTarget);
    },
    stop: () => undefined,
  };
}
