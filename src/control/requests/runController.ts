import { isTargetFailure } from '../../policy/nextStep.js';
import type { RunFailure, RunFailureKind } from '../../schema/linkFrame.js';
import type { Controller } from '../context.js';
import type { RequestContext } from './context.js';
import { reportInternalError } from './containment.js';
import { readAdvertisedPhase, readRunLimit } from './localLoad.js';
import { computeQueueDeadline, createRun } from './run.js';
import type { Run } from './run.js';
import { createRunAdmission, quarantined } from './runAdmission.js';
import type { RunRefusal } from './runAdmission.js';
import type { RunAnswer, RunAttempt, RunEvents } from './runPort.js';
import { reportRunEnd } from './runReport.js';
import { createRunSamples } from './runSamples.js';
import { addPace } from '../../policy/paceHint.js';
import { createSuspectRuns } from './suspectRuns.js';
import { createTargetGate } from './targetGate.js';
import { createTargetRecovery } from './targetRecovery.js';
import { createWaitingBodies } from './waitingBodies.js';
import type { WaitingBody } from './waitingBodies.js';

/** Time past its deadline after which a running request is abandoned, so that the target can time out first (ms). */
const ABANDON_DELAY_MS = 15;
/** Failures that show that the target as a whole does not work. */
const ejectingFailures: ReadonlySet<RunFailureKind> = new Set(['unreachable', 'misdirected']);
/** Number of consecutive requests without an answer in time after which the target is ejected. */
const EJECT_AFTER_TIMEOUTS = 5;

/** Writes the requests queued for and running at the local target: admits, orders, starts and ends them. */
export function createRunController(context: RequestContext): Controller {
  const { board, clock, deadlines, io } = context;
  const runs = board.claim('runs', 'runController');
  const { section } = runs;
  const { queue, running, duration, durationByRoute, startedByRoute, counts } = section;
  const samples = createRunSamples(section, clock);
  const bodies = createWaitingBodies();
  const recovery = createTargetRecovery(context, section);
  const suspects = createSuspectRuns(context);
  let consecutiveTimeouts = 0;

  const reportRun = (run: Run, outcome: string, detail: string): void => {
    reportRunEnd(context, { run, section, outcome, detail });
  };
  const countResult = (result: string): void => {
    counts.set(result, (counts.get(result) ?? 0) + 1);
  };
  const refuse = (events: RunEvents, { kind, detail, roomMs }: RunRefusal): void => {
    countResult(kind);
    events.fail({
      kind,
      ran: 'no',
      hasArrived: false,
      detail,
      ...(roomMs === undefined ? {} : { roomMs: Math.round(roomMs) }),
    });
  };
  const end = (run: Run, outcome: string, detail: string): void => {
    run.phase = 'ended';
    run.cancelDeadline();
    suspects.end(run);
    running.delete(run);
    countResult(outcome);
    reportRun(run, outcome, detail);
    startQueued();
  };
  const endAnswered = (run: Run, detail: string): void => {
    const durationMs = clock.now() - run.startedAtMs;
    // A failing target may answer quickly, which says nothing about its speed.
    if (!run.hasFailed) samples.addDuration(run, durationMs);
    io.recordDuration({ place: 'target', route: run.request.route, durationMs });
    end(run, 'answered', detail);
  };
  const receiveAnswer = (run: Run, answer: RunAnswer): void => {
    if (run.phase !== 'running') return;
    consecutiveTimeouts = 0;
    section.answeredAtMs = clock.now();
    run.hasFailed = isTargetFailure(answer);
    samples.addFailure(run.hasFailed);
    // A target may fail requests because of their calls, which says nothing about its own room.
    if (!run.hasFailed) recovery.observeRun(run, false);
    if (!run.hasFailed && !answer.isStreamed) suspects.recordAnswer(run.request);
    samples.addServed(true);
    board.post('target', { type: 'answered' });
    if (!answer.isStreamed) endAnswered(run, `status ${answer.status}`);
    run.events.answer(answer);
  };
  const fail = (run: Run, failure: RunFailure): void => {
    if (run.phase !== 'running') return;
    // A connection that the target closed while it was idle says nothing of its health.
    if (failure.isStale !== true) {
      samples.addFailure(failure.kind !== 'timedOut');
      recovery.observeRun(run, true);
    }
    samples.addServed(failure.ran !== 'no');
    if (failure.kind === 'connectionLost' || failure.kind === 'answerTruncated') {
      suspects.recordLost(run.request);
      board.post('target', { type: 'suspect' });
    }
    if (ejectingFailures.has(failure.kind)) {
      board.post('target', { type: 'eject', reason: failure.detail, isDown: failure.kind === 'unreachable' });
    }
    end(run, failure.kind, failure.detail);
    run.events.fail(failure);
  };
  /** Handles a part of a run; an error in it ends this run only, which may have reached the target. */
  const runContained = (run: Run, handle: () => void): void => {
    try {
      handle();
    } catch (error) {
      reportInternalError(board, { unit: 'run', id: run.request.requestId, error });
      run.target?.cancel();
      fail(run, { kind: 'targetFailed', ran: 'unknown', hasArrived: true, detail: 'internal error' });
    }
  };
  const start = (run: Run): void => {
    const { address, id, startedAtMs } = board.read('target');
    run.phase = 'running';
    run.startedAtMs = clock.now();
    running.add(run);
    startedByRoute.set(run.request.route, (startedByRoute.get(run.request.route) ?? 0) + 1);
    const request = { ...run.request, timeLeftMs: run.deadlineAtMs - run.startedAtMs };
    run.target = io.sendToTarget(
      { address, targetId: id, request },
      {
        answer: (answer) => {
          runContained(run, () => {
            receiveAnswer(run, answer);
          });
        },
        part: (data, isLast) => {
          runContained(run, () => {
            receivePart(run, data, isLast);
          });
        },
        fail: (failure) => {
          runContained(run, () => {
            if (failure.kind === 'misdirected') board.post('target', { type: 'refuted', id, startedAtMs });
            fail(run, failure);
          });
        },
        grantBody: (bytes) => {
          run.events.grantBody(bytes);
        },
        notice: (notice) => {
          if (notice.pace !== undefined) addPace(section.paceHint, notice.pace, clock.now());
          board.post('target', { type: 'notice', id, startedAtMs, sentAtMs: run.startedAtMs, notice });
        },
      },
    );
    sendWaitingBody(run);
  };
  const receivePart = (run: Run, data: Uint8Array, isLast: boolean): void => {
    if (run.phase !== 'running') return;
    if (isLast) {
      if (!run.hasFailed) suspects.recordAnswer(run.request);
      endAnswered(run, 'streamed');
    }
    run.events.part(data, isLast);
  };
  const takeBody = (run: Run): WaitingBody | undefined => {
    const body = bodies.take(run);
    section.waitingBodyBytes = bodies.bytes;
    return body;
  };
  const sendWaitingBody = (run: Run): void => {
    const body = takeBody(run);
    if (body === undefined) return;
    if (body.parts.length > 0) run.target?.sendBody(Buffer.concat(body.parts), false);
    if (body.hasEnded) run.target?.sendBody(new Uint8Array(), true);
  };
  /** Passes a part of a streamed body to the target, or keeps it until the request is sent there. */
  const receiveBody = (run: Run, data: Uint8Array, isLast: boolean): void => {
    run.isBodyComplete ||= isLast;
    if (run.phase !== 'queued') {
      run.target?.sendBody(data, isLast);
      return;
    }
    const isKept = bodies.add(run, data, isLast);
    section.waitingBodyBytes = bodies.bytes;
    if (isKept) return;
    queue.drop(run);
    reportRun(run, 'queueFull', `no room for its body beside ${bodies.bytes} bytes of others`);
    refuseRun(run, { kind: 'queueFull', detail: 'the node keeps no more bodies of waiting requests' });
  };
  const startQueued = (): void => {
    const limit = readRunLimit(board);
    gate.updateRate();
    for (const run of gate.takeTooLate())
      refuseRun(run, { kind: 'queueFull', detail: 'the target takes fewer requests than wait for it' });
    while (running.size < limit && queue.length > 0 && gate.admitNext()) {
      const run = queue.takeNext(clock.now(), duration.meanMs);
      if (run === undefined) return;
      if (run.deadlineAtMs <= clock.now()) endExpired(run);
      // The crashes may have been reported while it waited.
      else if (suspects.isRefused(run)) refuseRun(run, quarantined);
      else
        runContained(run, () => {
          start(run);
        });
    }
  };
  const gate = createTargetGate(context, { section, startQueued });
  const admission = createRunAdmission(context, { section, gate });
  /** Ends a request that was not sent to the target. */
  const endQueued = (run: Run): void => {
    run.phase = 'ended';
    run.cancelDeadline();
    suspects.end(run);
    takeBody(run);
  };
  const refuseRun = (run: Run, refusal: RunRefusal): void => {
    endQueued(run);
    refuse(run.events, refusal);
  };
  /** After a pause of this process, an answer may be read before the deadline timer runs. */
  const endExpired = (run: Run): void => {
    endQueued(run);
    samples.addMissedTurn(run);
    countResult('tooLate');
    reportRun(run, 'tooLate', 'the deadline passed in the queue');
    run.events.fail({ kind: 'tooLate', ran: 'no', hasArrived: false, detail: 'the deadline passed in the queue' });
  };
  const expire = (run: Run): void => {
    if (run.phase === 'queued') {
      queue.drop(run);
      endExpired(run);
      return;
    }
    run.cancelDeadline = deadlines.add(run.deadlineAtMs + ABANDON_DELAY_MS, () => {
      abandon(run);
    });
  };
  const abandon = (run: Run): void => {
    if (run.phase !== 'running') return;
    consecutiveTimeouts++;
    if (consecutiveTimeouts >= EJECT_AFTER_TIMEOUTS)
      board.post('target', {
        type: 'eject',
        reason: `${consecutiveTimeouts} consecutive requests without an answer`,
        isDown: false,
      });
    run.target?.cancel();
    samples.addUnanswered(run);
    fail(run, { kind: 'timedOut', ran: 'unknown', hasArrived: true, detail: 'no answer in time' });
  };
  const cancel = (run: Run): void => {
    if (run.phase === 'queued') {
      queue.drop(run);
      endQueued(run);
      samples.addMissedTurn(run);
      countResult('cancelled');
    } else if (run.phase === 'running' && (run.request.isIdempotent || !run.isBodyComplete)) {
      run.target?.cancel();
      samples.addUnanswered(run);
      end(run, 'cancelled', 'the caller cancelled the request');
    }
  };
  const accept = (attempt: RunAttempt): void => {
    const { request, events } = attempt;
    const nowMs = clock.now();
    const verdict = suspects.readVerdict(request);
    const refusal = admission.findTargetRefusal(request, verdict);
    if (refusal !== undefined) {
      refuse(events, refusal);
      return;
    }
    const costMs = Math.max(1, durationByRoute.get(request.route)?.meanMs ?? duration.meanMs);
    const run = createRun({ request, events, verdict, nowMs, costMs });
    const waitRefusal = admission.findWaitRefusal(run);
    if (waitRefusal !== undefined) {
      refuse(events, waitRefusal);
      return;
    }
    suspects.add(run);
    run.cancelDeadline = deadlines.add(computeQueueDeadline(run), () => {
      expire(run);
    });
    attempt.handle = {
      cancel: () => {
        cancel(run);
      },
      grantAnswer: (bytes) => run.target?.grantAnswer(bytes),
      sendBody: (data, isLast) => {
        receiveBody(run, data, isLast);
      },
    };
    queue.add(run);
    startQueued();
  };
  const refuseQueued = (): void => {
    const phase = readAdvertisedPhase(board, clock.now());
    if (phase === 'ready') return;
    for (const run of queue.takeAll())
      refuseRun(run, { kind: phase === 'draining' ? 'leaving' : 'noTarget', detail: `the target is ${phase}` });
  };
  const handleTargetChange = (): void => {
    recovery.followTarget();
    refuseQueued();
    startQueued();
  };
  runs.handlePosts((post) => {
    accept(post.attempt);
  });
  return {
    start: () => {
      board.subscribe('target', handleTargetChange);
      board.subscribe('node', refuseQueued);
    },
    stop: () => undefined,
  };
}
