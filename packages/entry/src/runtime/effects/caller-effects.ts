import type { CallerSessions } from '../caller-sessions.js';
import type { TopicHandlers } from './types.js';

/** Passes answers on to callers, each in the format of its own request. */
export const createCallerEffects = (sessions: CallerSessions): TopicHandlers<'caller'> => ({
  'caller.sendHead': ({ requestId, head }) => sessions.find(requestId)?.exchange.sendHead(head),
  'caller.sendChunk': ({ requestId, data }) => sessions.find(requestId)?.exchange.sendChunk(data),
  'caller.finish': ({ requestId, reason, usage }) =>
    sessions.take(requestId)?.exchange.finish(reason, usage),
  'caller.refuse': ({ requestId, refusal }) => sessions.take(requestId)?.exchange.refuse(refusal),
});
