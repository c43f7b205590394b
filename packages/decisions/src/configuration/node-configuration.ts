import {
  resultCodes,
  type Configuration,
  type ConfigurationHead,
  type ConfigurationMessage,
  type EntryVmId,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../seam/node-context.js';
import { ChangeCommitter } from './change-committer.js';
import { ConfigurationFlood } from './configuration-flood.js';
import { ConfigurationKeeper } from './configuration-keeper.js';
import { ConfigurationStore } from './configuration-store.js';
import { readHistory, readVersion } from './read-history.js';
import type { ChangeAsk, VmVersion } from './types.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly onSettled: () => void;
  /** No change is being committed any more. */
  readonly onIdle: () => void;
}

/** All that one entry VM does with the configuration: keep it, spread it, commit changes to it. */
export class NodeConfiguration {
  private readonly keeper: ConfigurationKeeper;

  private readonly flood: ConfigurationFlood;

  private readonly committer: ChangeCommitter;

  private readonly store: ConfigurationStore;

  constructor(private readonly dependencies: Dependencies) {
    const { context, membership, onSettled } = dependencies;
    this.store = new ConfigurationStore(context);
    this.keeper = new ConfigurationKeeper(context, {
      onAdopted: (head) => this.flood.spread(head),
      onSettled,
    });
    this.flood = new ConfigurationFlood({ context, membership, keeper: this.keeper });
    this.committer = new ChangeCommitter({
      context,
      readCurrent: () => this.keeper.head,
      onCommitted: (head) => this.keeper.offerHead(head, 0),
    });
  }

  start(): void {
    this.keeper.start();
  }

  get head(): ConfigurationHead | undefined {
    return this.keeper.head;
  }

  get configuration(): Configuration | undefined {
    return this.keeper.configuration;
  }

  get version(): number {
    return this.keeper.version;
  }

  get ageMs(): number | undefined {
    return this.keeper.ageMs;
  }

  get changesInProgress(): number {
    return this.committer.inProgress;
  }

  /** The version that each live entry VM has, as far as this one was told. */
  listVersions(): VmVersion[] {
    const { context, membership } = this.dependencies;
    const own = context.self.id;
    const told = new Map(membership.listMembers().map((member) => [member.vm.id, member]));
    return membership.listLive().map(({ id }) => ({
      vm: id,
      version: id === own ? this.version : told.get(id)?.configurationVersion,
    }));
  }

  acceptChange(ask: ChangeAsk, isLeaving: boolean): void {
    const { context, onIdle } = this.dependencies;
    const { changeId } = ask;
    if (isLeaving) {
      const outcome = { kind: 'refused', code: resultCodes.draining, committed: 'no' } as const;
      context.emit({ kind: 'operator.reply', changeId, outcome });
      return;
    }
    this.committer.commit(ask, (outcome) => {
      context.emit({ kind: 'operator.reply', changeId, outcome });
      if (this.changesInProgress === 0) onIdle();
    });
  }

  acceptHistoryAsk(askId: string, limit: number): void {
    readHistory(this.store, limit, (outcome) =>
      this.dependencies.context.emit({ kind: 'operator.history', askId, outcome }),
    );
  }

  acceptVersionAsk(askId: string, version: number): void {
    readVersion(this.store, version, (outcome) =>
      this.dependencies.context.emit({ kind: 'operator.version', askId, outcome }),
    );
  }

  acceptMessage(peer: EntryVmId, message: ConfigurationMessage): void {
    this.flood.acceptMessage(peer, message);
  }

  acceptLinkOpened(peer: EntryVmId): void {
    this.flood.greet(peer);
  }
}
