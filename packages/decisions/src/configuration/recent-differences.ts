import {
  buildDifference,
  type ConfigurationDifference,
  type ConfigurationHead,
  type VersionId,
} from '@savorywind/model';
import { MAX_RECENT_VERSIONS } from './consts.js';

/** Differences from the last few versions to the newest one, each worked out once. */
export class RecentDifferences {
  private heads: ConfigurationHead[] = [];

  private readonly differencesByBase = new Map<number, ConfigurationDifference | undefined>();

  /** Takes the newest version. */
  add(head: ConfigurationHead): void {
    this.heads = [...this.heads, head].slice(-MAX_RECENT_VERSIONS);
    this.differencesByBase.clear();
  }

  /** Gives undefined where the base is not among the last versions, or only a document will do. */
  find({ version, changeId }: VersionId): ConfigurationDifference | undefined {
    const newest = this.heads.at(-1);
    const base = this.heads.find((head) => head.version === version);
    if (newest === undefined || base === undefined || base.changeId !== changeId) return undefined;
    if (!this.differencesByBase.has(version)) {
      this.differencesByBase.set(
        version,
        buildDifference(base.configuration, newest.configuration),
      );
    }
    return this.differencesByBase.get(version);
  }
}
