import {
  Err,
  type PlatformCall,
  type PlatformFailure,
  type PlatformReply,
  type Result,
} from '@savorywind/model';
import type { NodeContext } from './node-context.js';

/** Calls the platform; a reply that stays out longer than the limit counts as unanswered. */
export const callPlatformWithin = (
  context: NodeContext,
  call: PlatformCall,
  limitMs: number,
  listener: (reply: Result<PlatformReply, PlatformFailure>) => void,
): void => {
  let open = true;
  const finish = (reply: Result<PlatformReply, PlatformFailure>): void => {
    if (!open) return;
    open = false;
    listener(reply);
  };
  const timer = context.schedule(limitMs, () => finish(Err('unanswered')));
  context.callPlatform(call, (reply) => {
    timer.cancel();
    finish(reply);
  });
};
