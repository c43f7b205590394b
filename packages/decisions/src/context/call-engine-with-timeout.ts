import { Err, type Engine, type Result } from '@savorywind/model';
import type { NodeContext } from './node-context.js';
import type { EngineCall, EngineCallFailure, EngineReply } from './types.js';

/** Calls an engine. The listener gets `unanswered` if there is no reply within the timeout. */
export const callEngineWithTimeout = (
  context: NodeContext,
  engine: Engine,
  call: EngineCall,
  timeoutMs: number,
  listener: (reply: Result<EngineReply, EngineCallFailure>) => void,
): void => {
  let isOpen = true;
  const finish = (reply: Result<EngineReply, EngineCallFailure>): void => {
    if (!isOpen) return;
    isOpen = false;
    listener(reply);
  };
  const timer = context.schedule(timeoutMs, () => finish(Err('unanswered')));
  context.callEngine(engine, call, (reply) => {
    timer.cancel();
    finish(reply);
  });
};
