import { scheduleRepeated } from '../core/clock.js';
import type { TargetAnnouncement, TargetState } from '../schema/member.js';
import { serviceConfigurationDefaults } from '../schema/serviceConfiguration.js';
import type { Controller, ControllerContext } from './context.js';

/** Targets send an announcement every second; the lease expires after three missed ones. */
export const TARGET_LEASE_MS = 3000;
const CHECK_INTERVAL_MS = 500;

/** Writes the state of the local target, from its announcements and the documents in force. */
export function createTargetController(context: ControllerContext): Controller {
  const { board, clock, settings } = context;
  const target = board.claim('target', 'targetController');
  let stopTimer = (): void => undefined;
  let publishedState: TargetState | undefined;

  const isDrainedByDocument = (service: string): boolean =>
    board.read('configuration').services.get(service)?.document.drainedHosts?.includes(settings.host) ?? false;

  const update = (): void => {
    const { section } = target;
    const isExpired = section.announcement !== undefined && clock.now() > section.leaseUntilMs;
    if (isExpired) section.announcement = undefined;
    const { announcement } = section;
    const isStopping = board.read('calls').isStopping;
    section.isDraining =
      announcement !== undefined &&
      (isStopping || announcement.state === 'draining' || isDrainedByDocument(announcement.service));
    publishState(announcement, section.isDraining);
  };
  const publishState = (announcement: TargetAnnouncement | undefined, isDraining: boolean): void => {
    const state: TargetState = announcement === undefined ? 'none' : isDraining ? 'draining' : announcement.state;
    if (state === publishedState) return;
    publishedState = state;
    const service = announcement?.service;
    board.post('members', {
      type: 'updateSelf',
      change: { targetState: state, ...(service === undefined ? {} : { service }) },
    });
    board.post('events', { kind: 'targetChanged', ...(service === undefined ? {} : { service }), data: { state } });
    target.publishChange();
  };
  target.handlePosts((post) => {
    if (post.type === 'announce') receiveAnnouncement(post.announcement);
    else {
      target.section.leaseUntilMs = 0;
      update();
    }
  });
  const receiveAnnouncement = (announcement: TargetAnnouncement): void => {
    const isRestarted = announcement.incarnation !== target.section.announcement?.incarnation;
    target.section.announcement = announcement;
    target.section.leaseUntilMs = clock.now() + TARGET_LEASE_MS;
    if (isRestarted) {
      const hint = board.read('configuration').services.get(announcement.service)?.document.concurrencyHint;
      board.post('limits', { type: 'restart', concurrency: hint ?? serviceConfigurationDefaults.concurrencyHint });
      board.post('events', {
        kind: 'targetAnnounced',
        service: announcement.service,
        data: { address: announcement.address },
      });
    }
    update();
  };
  return {
    start: () => {
      board.subscribe('configuration', update);
      board.subscribe('calls', update);
      stopTimer = scheduleRepeated(clock, CHECK_INTERVAL_MS, update);
    },
    stop: () => {
      stopTimer();
    },
  };
}
