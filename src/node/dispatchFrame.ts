import type { CallController } from '../control/callController.js';
import type { NodeBoard } from '../control/sections.js';
import type { Frame } from '../schema/frame.js';

export interface FrameDelivery {
  board: NodeBoard;
  calls: Pick<CallController, 'receiveCall' | 'receiveReply' | 'receiveCancel'>;
  host: string;
  frame: Frame;
  respond: (frame: Frame) => void;
}

/** Hands a frame to the section or controller that it is for. */
export function dispatchFrame({ board, calls, host, frame, respond }: FrameDelivery): void {
  switch (frame.type) {
    case 'call':
      calls.receiveCall(host, frame, respond);
      return;
    case 'answer':
    case 'refusal':
      calls.receiveReply(frame);
      return;
    case 'cancel':
      calls.receiveCancel(host, frame.callId);
      return;
    case 'hello':
      board.post('members', { type: 'merge', records: [frame.member] });
      respond({ type: 'members', records: [...board.read('members').byId.values()] });
      return;
    case 'members':
      board.post('members', { type: 'merge', records: frame.records });
      return;
    case 'configuration':
      board.post('configuration', { documents: frame.documents, from: host });
      return;
    case 'configurationDigest':
      board.post('configuration', { digest: frame, respond });
      return;
    case 'heartbeat':
    case 'crashReport':
    case 'digest':
    case 'pull':
      return;
  }
}
