import type {
  ChangeRequest,
  ChangeOutcome,
  HistoryOutcome,
  NodeStatus,
  VersionOutcome,
} from '@savorywind/decisions';
import type { ConfigurationHead, NetworkAddress } from '@savorywind/model';

/** An operator as declared in the settings; `name` is recorded as the author of changes. */
export interface OperatorCredential {
  readonly name: string;
  /** SHA-256 of the credential, in hex. */
  readonly sha256: string;
}

/** What the operator API needs from the surrounding process. */
export interface OperatorDependencies {
  readonly address: NetworkAddress;
  readonly credentials: readonly OperatorCredential[];
  readonly readHead: () => ConfigurationHead | undefined;
  readonly readStatus: () => NodeStatus;
  readonly commitChange: (change: ChangeRequest) => Promise<ChangeOutcome>;
  readonly readHistory: (limit: number) => Promise<HistoryOutcome>;
  readonly readVersion: (version: number) => Promise<VersionOutcome>;
  readonly drain: () => void;
}
