import type { OperatorDesk } from '../../operators/operator-desk.js';
import type { TopicHandlers } from './types.js';

/** Hands the decisions' replies to the operators who wait for them. */
export const createOperatorEffects = (desk: OperatorDesk): TopicHandlers<'operator'> => ({
  'operator.reply': (effect) => desk.acceptReply(effect),
  'operator.history': (effect) => desk.acceptHistory(effect),
  'operator.version': (effect) => desk.acceptVersion(effect),
});
