import {
  buildDifference,
  type ConfigurationDifference,
  type ConfigurationHead,
  type VersionId,
} from '@savorywind/model';
import { MAX_RECENT_VERSIONS } from './consts.js';

/** Caches the differences from the last few versions to the newest one. */
export class RecentDifferences {
  private heads: ConfigurationHead[] = [];

  private readonly differencesByBase = new Map<number, ConfigurationDifference | undefined>();

  /** Adds the newest version and drops the cached differences. */
  add(head: ConfigurationHead): void {
    this.heads = [...this.heads, head].slice(-MAX_RECENT_VERSIONS);
    this.differencesByBase.clear();
  }

  /**
   * Finds the difference from a version to the newest one.
   *
   * @returns undefined if the version is not among the recent ones, or if the change can't be
   *   expressed as a difference, so that the whole document is needed
   */
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
