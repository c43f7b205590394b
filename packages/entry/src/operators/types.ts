import type {
  ChangeAsk,
  ChangeOutcome,
  HistoryOutcome,
  NodeStatus,
  VersionOutcome,
} from '@savorywind/decisions';
import type { ConfigurationHead, NetworkAddress } from '@savorywind/model';

/** An operator as the settings name them; the name is the author in the history. */
export interface OperatorCredential {
  readonly name: string;
  /** SHA-256 of the credential, in hex. */
  readonly sha256: string;
}

/** What the operators' interface asks of the process around it. */
export interface OperatorDependencies {
  readonly address: NetworkAddress;
  readonly credentials: readonly OperatorCredential[];
  readonly readHead: () => ConfigurationHead | undefined;
  readonly readStatus: () => NodeStatus;
  readonly commitChange: (ask: ChangeAsk) => Promise<ChangeOutcome>;
  readonly readHistory: (limit: number) => Promise<HistoryOutcome>;
  readonly readVersion: (version: number) => Promise<VersionOutcome>;
  readonly drain: () => void;
}
