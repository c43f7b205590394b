import type {
  ChangeAsk,
  ChangeOutcome,
  HistoryOutcome,
  VersionOutcome,
  NodeEffect,
  NodeEvent,
} from '@savorywind/decisions';

type ReplyEffect = Extract<NodeEffect, { readonly kind: 'operator.reply' }>;
type VersionEffect = Extract<NodeEffect, { readonly kind: 'operator.version' }>;
type HistoryEffect = Extract<NodeEffect, { readonly kind: 'operator.history' }>;

/** Matches the decisions' replies with the operators who wait for them. */
export class OperatorDesk {
  private readonly changes = new Map<string, ((outcome: ChangeOutcome) => void)[]>();

  private readonly histories = new Map<string, (outcome: HistoryOutcome) => void>();

  private readonly versions = new Map<string, (outcome: VersionOutcome) => void>();

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
    const askId = this.createAskId();
    return new Promise((resolve) => {
      this.histories.set(askId, resolve);
      this.dispatch({ kind: 'operator.readHistory', askId, limit });
    });
  }

  readVersion(version: number): Promise<VersionOutcome> {
    const askId = this.createAskId();
    return new Promise((resolve) => {
      this.versions.set(askId, resolve);
      this.dispatch({ kind: 'operator.readVersion', askId, version });
    });
  }

  /** Replies to one change id come in the order in which it was asked for. */
  acceptReply({ changeId, outcome }: ReplyEffect): void {
    const [first, ...rest] = this.changes.get(changeId) ?? [];
    if (rest.length === 0) this.changes.delete(changeId);
    else this.changes.set(changeId, rest);
    first?.(outcome);
  }

  acceptVersion({ askId, outcome }: VersionEffect): void {
    const listener = this.versions.get(askId);
    this.versions.delete(askId);
    listener?.(outcome);
  }

  acceptHistory({ askId, outcome }: HistoryEffect): void {
    const listener = this.histories.get(askId);
    this.histories.delete(askId);
    listener?.(outcome);
  }

  private createAskId(): string {
    const askId = String(this.nextAsk);
    this.nextAsk += 1;
    return askId;
  }
}
