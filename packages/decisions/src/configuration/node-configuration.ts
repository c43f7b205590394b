import {
  resultCodes,
  type Configuration,
  type ConfigurationHead,
  type ConfigurationMessage,
  type EntryVmId,
} from '@savorywind/model';
import type { Membership } from '../membership/types.js';
import type { NodeContext } from '../context/node-context.js';
import { ChangeCommitter } from './change-committer.js';
import { ConfigurationReplicator } from './configuration-replicator.js';
import { LocalConfiguration } from './local-configuration.js';
import { ConfigurationStore } from './configuration-store.js';
import { readHistory, readVersion } from './read-history.js';
import type { ChangeRequest, VmVersion } from './types.js';

interface Dependencies {
  readonly context: NodeContext;
  readonly membership: Membership;
  /** Called once when the initial synchronization is finished. */
  readonly onSynced: () => void;
  /** Called when no change is in progress any more. */
  readonly onIdle: () => void;
}

/**
 * Configuration of one entry VM: keeps the version in force, replicates it to peers and commits
 * changes.
 */
export class NodeConfiguration {
  private readonly localConfiguration: LocalConfiguration;

  private readonly replicator: ConfigurationReplicator;

  private readonly committer: ChangeCommitter;

  private readonly store: ConfigurationStore;

  constructor(private readonly dependencies: Dependencies) {
    const { context, membership, onSynced } = dependencies;
    this.store = new ConfigurationStore(context);
    this.localConfiguration = new LocalConfiguration(context, {
      onAdopted: (head) => this.replicator.offerToPeers(head),
      onSynced,
    });
    this.replicator = new ConfigurationReplicator({
      context,
      membership,
      localConfiguration: this.localConfiguration,
    });
    this.committer = new ChangeCommitter({
      context,
      readCurrent: () => this.localConfiguration.head,
      onCommitted: (head) => this.localConfiguration.applyHead(head, 0),
    });
  }

  start(): void {
    this.localConfiguration.start();
  }

  get head(): ConfigurationHead | undefined {
    return this.localConfiguration.head;
  }

  get configuration(): Configuration | undefined {
    return this.localConfiguration.configuration;
  }

  get version(): number {
    return this.localConfiguration.version;
  }

  get ageMs(): number | undefined {
    return this.localConfiguration.ageMs;
  }

  get changesInProgress(): number {
    return this.committer.inProgressCount;
  }

  /** Lists the last known version of each live entry VM. */
  listVersions(): VmVersion[] {
    const { context, membership } = this.dependencies;
    const ownId = context.self.id;
    const membersById = new Map(membership.listMembers().map((member) => [member.vm.id, member]));
    return membership.listLive().map(({ id }) => ({
      vm: id,
      version: id === ownId ? this.version : membersById.get(id)?.configurationVersion,
    }));
  }

  handleChangeRequest(request: ChangeRequest, isLeaving: boolean): void {
    const { context, onIdle } = this.dependencies;
    const { changeId } = request;
    if (isLeaving) {
      const outcome = { kind: 'refused', code: resultCodes.draining, committed: 'no' } as const;
      context.emit({ kind: 'operator.reply', changeId, outcome });
      return;
    }
    this.committer.commit(request, (outcome) => {
      context.emit({ kind: 'operator.reply', changeId, outcome });
      if (this.changesInProgress === 0) onIdle();
    });
  }

  handleHistoryRequest(askId: string, limit: number): void {
    readHistory(this.store, limit, (outcome) =>
      this.dependencies.context.emit({ kind: 'operator.history', askId, outcome }),
    );
  }

  handleVersionRequest(askId: string, version: number): void {
    readVersion(this.store, version, (outcome) =>
      this.dependencies.context.emit({ kind: 'operator.version', askId, outcome }),
    );
  }

  handleMessage(peer: EntryVmId, message: ConfigurationMessage): void {
    this.replicator.handleMessage(peer, message);
  }

  handleLinkOpened(peer: EntryVmId): void {
    this.replicator.handleLinkOpened(peer);
  }
}
