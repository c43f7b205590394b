import type { Engine } from '@savorywind/model';
import {
  EngineSimulator,
  type EngineSimulatorSettings,
  type SimulatedStream,
} from '@savorywind/stand-ins';
import type { PlannedRequest } from '../workload/types.js';

/** A simulated engine that can crash. */
export class FleetEngine {
  readonly simulator: EngineSimulator;

  private running = true;

  private readonly crashListeners = new Set<() => void>();

  constructor(
    readonly declaration: Engine,
    settings: EngineSimulatorSettings,
  ) {
    this.simulator = new EngineSimulator(settings);
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** Starts a stream of the planned output length; undefined if the engine rejects it. */
  start(
    streamId: string,
    { contract, outputTokens }: PlannedRequest,
    priority: number,
  ): SimulatedStream | undefined {
    if (contract.kind !== 'model') return undefined;
    const { promptTokens, maxOutputTokens, prefixDigests } = contract;
    return this.simulator.startStream({
      streamId,
      promptTokens,
      maxOutputTokens,
      stopAfterTokens: outputTokens,
      priority,
      prefixDigests,
      seedText: '',
    });
  }

  addCrashListener(callback: () => void): void {
    this.crashListeners.add(callback);
  }

  removeCrashListener(callback: () => void): void {
    this.crashListeners.delete(callback);
  }

  /** Crashes the engine: drops all streams and calls the crash listeners once. */
  crash(): void {
    this.running = false;
    this.simulator.reset();
    const callbacks = [...this.crashListeners];
    this.crashListeners.clear();
    callbacks.forEach((callback) => callback());
  }
}
