import { Err, type Engine, type Result } from '@savorywind/model';
import type { NodeContext } from './node-context.js';
import type { EngineCall, EngineCallFailure, EngineReply } from './types.js';

/** Calls an engine; a reply that stays out longer than the limit counts as unanswered. */
export const callEngineWithin = (
  context: NodeContext,
  engine: Engine,
  call: EngineCall,
  limitMs: number,
  listener: (reply: Result<EngineReply, EngineCallFailure>) => void,
): void => {
  let open = true;
  const finish = (reply: Result<EngineReply, EngineCallFailure>): void => {
    if (!open) return;
    open = false;
    listener(reply);
  };
  const timer = context.schedule(limitMs, () => finish(Err('unanswered')));
  context.callEngine(engine, call, (reply) => {
    timer.cancel();
    finish(reply);
  });
};
