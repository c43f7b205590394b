import type { Engine } from '@savorywind/model';
import { EngineModel, type EngineModelSettings, type ModelStream } from '@savorywind/stand-ins';
import type { PlannedRequest } from '../workload/types.js';

/** An engine of an experiment: the engine model, and whether it is alive. */
export class FleetEngine {
  readonly model: EngineModel;

  private alive = true;

  private readonly onDeath = new Set<() => void>();

  constructor(
    readonly declaration: Engine,
    settings: EngineModelSettings,
  ) {
    this.model = new EngineModel(settings);
  }

  get isAlive(): boolean {
    return this.alive;
  }

  /** Starts a stream whose end comes at the answer's planned length. */
  start(
    streamId: string,
    { contract, outputTokens }: PlannedRequest,
    priority: number,
  ): ModelStream | undefined {
    if (contract.kind !== 'model') return undefined;
    const { promptTokens, maxOutputTokens, prefixDigests } = contract;
    return this.model.startStream({
      streamId,
      promptTokens,
      maxOutputTokens,
      stopAfterTokens: outputTokens,
      priority,
      prefixDigests,
      seedText: '',
    });
  }

  watchDeath(callback: () => void): void {
    this.onDeath.add(callback);
  }

  unwatchDeath(callback: () => void): void {
    this.onDeath.delete(callback);
  }

  kill(): void {
    this.alive = false;
    this.model.reset();
    const callbacks = [...this.onDeath];
    this.onDeath.clear();
    callbacks.forEach((callback) => callback());
  }
}
