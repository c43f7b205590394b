import type { PendingOperatorCalls } from '../../operators/pending-operator-calls.js';
import type { TopicHandlers } from './types.js';

/** Delivers the results of operator calls to the pending calls. */
export const createOperatorEffects = (
  operatorCalls: PendingOperatorCalls,
): TopicHandlers<'operator'> => ({
  'operator.reply': (effect) => operatorCalls.resolveChange(effect),
  'operator.history': (effect) => operatorCalls.resolveHistory(effect),
  'operator.version': (effect) => operatorCalls.resolveVersion(effect),
});
