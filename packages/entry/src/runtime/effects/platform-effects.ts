import { Err } from '@savorywind/model';
import { callEngine } from '../../endpoints/engine-client.js';
import type { PlatformClient } from '../../platform/platform-client.js';
import type { Dispatch, TopicHandlers } from './types.js';

/** Calls the platform and dispatches its replies as events. */
export const createPlatformEffects = (
  platform: PlatformClient,
  dispatch: Dispatch,
): TopicHandlers<'platform'> => ({
  'platform.call': ({ callId, call }) =>
    platform.call(call, (reply) => dispatch({ kind: 'platform.replied', callId, reply })),
});

/** Calls engines for purposes other than requests, and dispatches their replies as events. */
export const createEngineEffects = (dispatch: Dispatch): TopicHandlers<'engine'> => ({
  'engine.call': ({ callId, engine, call }) => {
    callEngine(engine, call)
      .catch(() => Err('unanswered' as const))
      .then((reply) => dispatch({ kind: 'engine.replied', callId, reply }));
  },
});
