import {
  Err,
  type PlatformCall,
  type PlatformFailure,
  type PlatformReply,
  type Result,
} from '@savorywind/model';
import type { NodeContext } from './node-context.js';

/** Calls the platform. The listener gets `unanswered` if there is no reply within the timeout. */
export const callPlatformWithTimeout = (
  context: NodeContext,
  call: PlatformCall,
  timeoutMs: number,
  listener: (reply: Result<PlatformReply, PlatformFailure>) => void,
): void => {
  let isOpen = true;
  const finish = (reply: Result<PlatformReply, PlatformFailure>): void => {
    if (!isOpen) return;
    isOpen = false;
    listener(reply);
  };
  const timer = context.schedule(timeoutMs, () => finish(Err('unanswered')));
  context.callPlatform(call, (reply) => {
    timer.cancel();
    finish(reply);
  });
};
