import type { CallerSessions } from '../caller-sessions.js';
import type { TopicHandlers } from './types.js';

/** Sends responses to callers in the format of their requests, and records their metrics. */
export const createCallerEffects = (sessions: CallerSessions): TopicHandlers<'caller'> => ({
  'caller.sendHead': ({ requestId, head }) =>
    sessions.find(requestId)?.responseWriter.sendHead(head),
  'caller.sendChunk': ({ requestId, data }) => {
    const session = sessions.find(requestId);
    if (session === undefined) return;
    session.measurement.recordChunk();
    session.responseWriter.sendChunk(data);
  },
  'caller.finish': ({ requestId, reason, usage }) => {
    const session = sessions.remove(requestId);
    if (session === undefined) return;
    session.measurement.recordFinish(usage);
    session.responseWriter.finish(reason, usage);
  },
  'caller.refuse': ({ requestId, refusal }) => {
    const session = sessions.remove(requestId);
    if (session === undefined) return;
    session.measurement.recordRefusal(refusal.code.code);
    session.responseWriter.refuse(refusal);
  },
});
