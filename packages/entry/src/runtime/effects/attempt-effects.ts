import type { EndpointKind, RequestId } from '@savorywind/model';
import type { CallerSession } from '../../callers/types.js';
import { startEngineAttempt } from '../../endpoints/engine-attempt.js';
import { startServiceAttempt } from '../../endpoints/service-attempt.js';
import type { AttemptStarter, RunningAttempt } from '../../endpoints/types.js';
import type { Dispatch, TopicHandlers } from './types.js';

const ATTEMPT_STARTERS: Readonly<Record<EndpointKind, AttemptStarter>> = {
  engine: startEngineAttempt,
  service: startServiceAttempt,
};

/** Starts and cancels attempts at endpoints, and tracks the running ones. */
export const createAttemptEffects = (
  findSession: (requestId: RequestId) => CallerSession | undefined,
  dispatch: Dispatch,
): TopicHandlers<'attempt'> => {
  const attempts = new Map<string, RunningAttempt>();
  return {
    'attempt.start': (start) => {
      const session = findSession(start.requestId);
      if (session === undefined) return;
      const { attemptId, endpoint } = start;
      session.measurement.recordAttempt(endpoint);
      const attempt = ATTEMPT_STARTERS[endpoint.kind](start, session.request, (event) => {
        if (event.kind === 'attempt.ended' || event.kind === 'attempt.failed') {
          attempts.delete(attemptId);
        }
        dispatch(event);
      });
      attempts.set(attemptId, attempt);
    },
    'attempt.cancel': ({ attemptId }) => {
      attempts.get(attemptId)?.cancel();
      attempts.delete(attemptId);
    },
  };
};
