import type {
  ChangeRequest,
  ChangeOutcome,
  HistoryOutcome,
  VersionOutcome,
  NodeEffect,
  NodeEvent,
} from '@savorywind/decisions';

type ReplyEffect = Extract<NodeEffect, { readonly kind: 'operator.reply' }>;
type VersionEffect = Extract<NodeEffect, { readonly kind: 'operator.version' }>;
type HistoryEffect = Extract<NodeEffect, { readonly kind: 'operator.history' }>;

/** Dispatches operator calls to the state machine and matches its replies to the pending calls. */
export class PendingOperatorCalls {
  private readonly pendingChanges = new Map<string, ((outcome: ChangeOutcome) => void)[]>();

  private readonly pendingHistories = new Map<string, (outcome: HistoryOutcome) => void>();

  private readonly pendingVersions = new Map<string, (outcome: VersionOutcome) => void>();

  private nextAskNumber = 1;

  constructor(private readonly dispatch: (event: NodeEvent) => void) {}

  commitChange(change: ChangeRequest): Promise<ChangeOutcome> {
    return new Promise((resolve) => {
      const pending = this.pendingChanges.get(change.changeId) ?? [];
      this.pendingChanges.set(change.changeId, [...pending, resolve]);
      this.dispatch({ kind: 'operator.change', ...change });
    });
  }

  readHistory(limit: number): Promise<HistoryOutcome> {
    const askId = this.createAskId();
    return new Promise((resolve) => {
      this.pendingHistories.set(askId, resolve);
      this.dispatch({ kind: 'operator.readHistory', askId, limit });
    });
  }

  readVersion(version: number): Promise<VersionOutcome> {
    const askId = this.createAskId();
    return new Promise((resolve) => {
      this.pendingVersions.set(askId, resolve);
      this.dispatch({ kind: 'operator.readVersion', askId, version });
    });
  }

  /** Resolves the oldest pending call with the change id; replies arrive in the order of the calls. */
  resolveChange({ changeId, outcome }: ReplyEffect): void {
    const [first, ...rest] = this.pendingChanges.get(changeId) ?? [];
    if (rest.length === 0) this.pendingChanges.delete(changeId);
    else this.pendingChanges.set(changeId, rest);
    first?.(outcome);
  }

  resolveVersion({ askId, outcome }: VersionEffect): void {
    const resolve = this.pendingVersions.get(askId);
    this.pendingVersions.delete(askId);
    resolve?.(outcome);
  }

  resolveHistory({ askId, outcome }: HistoryEffect): void {
    const resolve = this.pendingHistories.get(askId);
    this.pendingHistories.delete(askId);
    resolve?.(outcome);
  }

  private createAskId(): string {
    const askId = String(this.nextAskNumber);
    this.nextAskNumber += 1;
    return askId;
  }
}
