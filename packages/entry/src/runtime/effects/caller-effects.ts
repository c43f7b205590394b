import type { CallerSessions } from '../caller-sessions.js';
import type { TopicHandlers } from './types.js';

/** Passes answers on to callers, each in the format of its own request, and measures them. */
export const createCallerEffects = (sessions: CallerSessions): TopicHandlers<'caller'> => ({
  'caller.sendHead': ({ requestId, head }) => sessions.find(requestId)?.exchange.sendHead(head),
  'caller.sendChunk': ({ requestId, data }) => {
    const session = sessions.find(requestId);
    if (session === undefined) return;
    session.measure.recordChunk();
    session.exchange.sendChunk(data);
  },
  'caller.finish': ({ requestId, reason, usage }) => {
    const session = sessions.take(requestId);
    if (session === undefined) return;
    session.measure.recordFinish();
    session.exchange.finish(reason, usage);
  },
  'caller.refuse': ({ requestId, refusal }) => {
    const session = sessions.take(requestId);
    if (session === undefined) return;
    session.measure.recordRefusal(refusal.code.code);
    session.exchange.refuse(refusal);
  },
});
