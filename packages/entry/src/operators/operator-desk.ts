import type {
  ChangeAsk,
  ChangeOutcome,
  HistoryOutcome,
  NodeEffect,
  NodeEvent,
} from '@savorywind/decisions';

type ReplyEffect = Extract<NodeEffect, { readonly kind: 'operator.reply' }>;
type HistoryEffect = Extract<NodeEffect, { readonly kind: 'operator.history' }>;

/** Matches the decisions' replies with the operators who wait for them. */
export class OperatorDesk {
  private readonly changes = new Map<string, ((outcome: ChangeOutcome) => void)[]>();

  private readonly histories = new Map<string, (outcome: HistoryOutcome) => void>();

  private nextAsk = 1;

  constructor(private readonly dispatch: (event: NodeEvent) => void) {}

  commitChange(ask: ChangeAsk): Promise<ChangeOutcome> {
    return new Promise((resolve) => {
      const waiting = this.changes.get(ask.changeId) ?? [];
      this.changes.set(ask.changeId, [...waiting, resolve]);
      this.dispatch({ kind: 'operator.change', ...ask });
    });
  }

  readHistory(limit: number): Promise<HistoryOutcome> {
    const askId = String(this.nextAsk);
    this.nextAsk += 1;
    return new Promise((resolve) => {
      this.histories.set(askId, resolve);
      this.dispatch({ kind: 'operator.readHistory', askId, limit });
    });
  }

  /** Replies to one change id come in the order in which it was asked for. */
  acceptReply({ changeId, outcome }: ReplyEffect): void {
    const [first, ...rest] = this.changes.get(changeId) ?? [];
    if (rest.length === 0) this.changes.delete(changeId);
    else this.changes.set(changeId, rest);
    first?.(outcome);
  }

  acceptHistory({ askId, outcome }: HistoryEffect): void {
    const listener = this.histories.get(askId);
    this.histories.delete(askId);
    listener?.(outcome);
  }
}
