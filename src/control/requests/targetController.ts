import type { Controller } from '../context.js';
import { compareHeartbeats, isSameStart } from '../../policy/heartbeatOrder.js';
import type { Heartbeat, PublishedTarget, TargetPhase } from '../../schema/nodeMember.js';
import type { RequestContext } from './context.js';

/** Longest wait until a leave is durable; a heartbeat that is not acknowledged within a second counts as lost. */
const DURABLE_WAIT_MS = 600;
/** Time without heartbeats, in heartbeat periods, after which a target that takes no connection is taken as gone. */
const SILENT_PERIODS = 4;
/** Pause until a target that refused connections or fell silent is tried again (ms). */
const SHUN_MS = 400;
/** Least time between two probes of a target (ms). */
const PROBE_PAUSE_MS = 200;
/** Time in which peers tell a new process what it published earlier (ms). */
const INHERIT_WAIT_MS = 800;

/** Writes what this node believes of its target, from heartbeats, leaves and what an earlier process published. */
export function createTargetController(context: RequestContext): Controller {
  const { board, clock, io } = context;
  const target = board.claim('target', 'targetController');
  const { section } = target;
  const startedAtMs = clock.now();
  let probedAtMs = -Infinity;
  /** A heartbeat of a start that nobody vouches for yet; the next one in order confirms it. */
  let unconfirmed: { id: string; heartbeat: Heartbeat } | undefined;

  const report = (outcome: string, inputs: Record<string, string | number | undefined>): void => {
    board.post('decisions', { kind: 'targetChanged', outcome, inputs });
  };
  const describeTarget = (): PublishedTarget => {
    const { id, startedAtMs: bornMs, sequence, phase, service, address, slots } = section;
    return { id, startedAtMs: bornMs, sequence: Math.max(0, sequence), phase, service, address, slots };
  };
  const publish = (durable?: () => void): void => {
    target.publishChange();
    board.post('members', { type: 'publishTarget', target: describeTarget(), ...(durable && { durable }) });
  };
  const enter = (phase: TargetPhase, reason: string): void => {
    section.phase = phase;
    report(phase, { target: section.id, sequence: section.sequence, service: section.service, reason });
  };
  const acknowledgeDurable = (acknowledge: () => void): void => {
    let isDone = false;
    const finish = (): void => {
      if (isDone) return;
      isDone = true;
      acknowledge();
    };
    publish(finish);
    clock.schedule(DURABLE_WAIT_MS, finish);
  };
  const adopt = (id: string, heartbeat: Heartbeat): void => {
    section.id = id;
    section.startedAtMs = heartbeat.startedAtMs;
    section.service = heartbeat.service;
    section.address = heartbeat.address;
    section.slots = heartbeat.slots;
    section.shunnedUntilMs = 0;
  };
  /** True when an earlier process acknowledged that this start leaves. */
  const hasLeft = (id: string, bornMs: number): boolean => {
    const { inherited } = board.read('members');
    const isLeaving = inherited?.phase === 'draining' || inherited?.phase === 'left';
    return isLeaving && isSameStart(inherited, id, bornMs);
  };
  /** True when nothing that this node may have acknowledged earlier can be unknown to it. */
  const isPastKnown = (): boolean => {
    const { isComplete, storeHeardMs } = board.read('members');
    return isComplete && (storeHeardMs !== undefined || clock.now() - startedAtMs > INHERIT_WAIT_MS);
  };
  const isConfirmed = (id: string, heartbeat: Heartbeat): boolean => {
    if (isPastKnown()) return true;
    const previous = unconfirmed;
    unconfirmed = { id, heartbeat };
    return previous?.id === id && compareHeartbeats(previous.heartbeat, heartbeat) < 0;
  };
  const receiveHeartbeat = (id: string, heartbeat: Heartbeat, acknowledge: () => void): void => {
    const isKnown = isSameStart(section, id, heartbeat.startedAtMs);
    if (compareHeartbeats(heartbeat, section) <= 0 && section.id !== '') {
      const inputs = { target: id, sequence: heartbeat.sequence, known: section.id, knownSequence: section.sequence };
      board.post('decisions', { kind: 'heartbeatIgnored', outcome: 'older than what is known', inputs });
      acknowledge();
      return;
    }
    if (!isKnown && heartbeat.state === 'ready' && !hasLeft(id, heartbeat.startedAtMs)) {
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
    section.lastHeardMs = clock.now();
    section.coldUntilMs = clock.now() + heartbeat.coldLeftMs;
    const isLeaving =
      heartbeat.state === 'draining' || previousPhase === 'draining' || hasLeft(id, heartbeat.startedAtMs);
    const phase = previousPhase === 'left' ? 'left' : isLeaving ? 'draining' : 'ready';
    if (phase === previousPhase) {
      section.phase = phase;
      acknowledge();
      return;
    }
    enter(phase, 'heartbeat');
    if (phase === 'ready') {
      publish();
      acknowledge();
    } else {
      acknowledgeDurable(acknowledge);
    }
  };
  const receiveLeave = (id: string, acknowledge: () => void): void => {
    const { inherited } = board.read('members');
    if (section.id === '' && inherited?.id === id) adoptInherited(inherited);
    if (section.id !== id) {
      // A target that this process never heard: what was sent before this leave must not be believed later.
      if (section.id !== '') {
        report('leave of another target', { target: id, known: section.id });
        acknowledge();
        return;
      }
      section.id = id;
      section.startedAtMs = clock.wallTime();
    }
    if (section.phase === 'left') {
      acknowledge();
      return;
    }
    enter('left', 'leave');
    acknowledgeDurable(acknowledge);
  };
  const adoptInherited = (inherited: PublishedTarget): void => {
    section.id = inherited.id;
    section.startedAtMs = inherited.startedAtMs;
    section.sequence = inherited.sequence;
    section.service = inherited.service;
    section.address = inherited.address;
    section.slots = inherited.slots;
    section.lastHeardMs = clock.now();
    enter(inherited.phase, 'published by an earlier process');
    target.publishChange();
  };
  const inherit = (): void => {
    const { inherited } = board.read('members');
    if (section.id !== '' || inherited === undefined || inherited.id === '') return;
    if (isPastKnown()) adoptInherited(inherited);
  };
  const checkSilence = (): void => {
    const { heartbeatMs } = board.read('settings').current;
    const silentMs = clock.now() - section.lastHeardMs;
    if (section.phase !== 'ready' || silentMs < SILENT_PERIODS * heartbeatMs) return;
    if (section.shunnedUntilMs === 0) return;
    enter('none', `no heartbeat for ${Math.round(silentMs)} ms`);
    publish();
  };
  const receiveHeard = (): void => {
    if (section.shunnedUntilMs === 0) return;
    section.shunnedUntilMs = 0;
    report('answers again', { target: section.id });
    target.publishChange();
  };
  const shun = (reason: string, isDown: boolean): void => {
    const wasShunned = section.shunnedUntilMs !== 0;
    section.shunnedUntilMs = clock.now() + SHUN_MS;
    if (!wasShunned) report('shunned', { target: section.id, reason });
    if (isDown) board.post('quarantine', { type: 'targetCrashed', targetId: section.id });
    checkSilence();
    target.publishChange();
  };
  /** A lost connection may mean that the target crashed, which a new connection shows at once. */
  const probe = (): void => {
    const nowMs = clock.now();
    if (nowMs < probedAtMs + PROBE_PAUSE_MS || section.address === '') return;
    probedAtMs = nowMs;
    const { id } = section;
    io.probeTarget(section.address, (isUp) => {
      if (!isUp && section.id === id) shun('takes no connections', true);
    });
  };
  target.handlePosts((post) => {
    if (post.type === 'heartbeat') receiveHeartbeat(post.id, post.heartbeat, post.acknowledge);
    else if (post.type === 'leave') receiveLeave(post.id, post.acknowledge);
    else if (post.type === 'heard') receiveHeard();
    else if (post.type === 'suspect') probe();
    else shun(post.reason, post.isDown);
  });
  return {
    start: () => {
      board.subscribe('members', inherit);
      clock.schedule(INHERIT_WAIT_MS + 1, inherit);
    },
    stop: () => undefined,
  };
}
