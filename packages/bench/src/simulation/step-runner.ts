import type { ChangeRequest } from '@savorywind/decisions';
import type { Configuration } from '@savorywind/model';
import type { FakeClock } from './fake-clock.js';
import { createEntryVmDomains, createSmallConfiguration, FAILURE_DOMAINS } from './deployments.js';
import type { FakeCaller } from './fake-caller.js';
import { PLATFORM_LOCATION, type NetworkSettings, type NetworkLocation } from './fake-network.js';
import type { Step } from './steps.js';
import { Simulation } from './simulation.js';

type StepHandlers = {
  readonly [Kind in Step['kind']]: (step: Extract<Step, { readonly kind: Kind }>) => void;
};

/** Seed, fleet size and log length of one randomised run. */
export interface RunSettings {
  readonly seed: number;
  readonly entryVmsPerDomain: number;
  readonly enginesPerDomain: number;
  readonly maxLogLines?: number;
}

/** Network that loses, duplicates and delays messages between entry VMs. */
const UNRELIABLE_NETWORK: NetworkSettings = {
  minDelayMs: 0.2,
  maxDelayMs: 2,
  lossRate: 0.02,
  duplicateRate: 0.02,
  delayRate: 0.03,
  maxExtraDelayMs: 3_000,
};

/** Request timeout of the steps that set none: retried bookings, reused keys and lookups. */
const DEFAULT_TIMEOUT_MS = 4_000;

/** Time within which a committed configuration is in force on every entry VM. */
const CONFIGURATION_TIMEOUT_MS = 9_000;

/** Time after the last fault within which all deadlines have passed and all memory is free. */
const RECOVERY_TIMEOUT_MS = 60_000;

const RECOVERY_CHECK_INTERVAL_MS = 5_000;

/** Time for the entry VMs to start before the first step. */
const STARTUP_MS = 200;

/** Runs the steps of one randomised run on a new simulation. */
export class StepRunner {
  readonly simulation: Simulation;

  private readonly locations: readonly NetworkLocation[] = [...FAILURE_DOMAINS, PLATFORM_LOCATION];

  private readonly vmIds: readonly string[];

  private readonly endpointIds: readonly string[];

  private nextRequestNumber = 1;

  private lastChange: ChangeRequest | undefined;

  private readonly configuration: Configuration;

  private readonly handlers: StepHandlers = {
    advance: ({ ms }) => this.clock.advance(ms),
    chat: (step) => this.sendChat(step),
    book: (step) => this.sendNewBooking(step),
    bookAgain: ({ vm, booking }) =>
      this.sendBooking(vm, `booking-${booking}`, `key-${booking}`, DEFAULT_TIMEOUT_MS),
    reuseKey: ({ vm, booking }) =>
      this.sendBooking(vm, `other-${booking}`, `key-${booking}`, DEFAULT_TIMEOUT_MS),
    lookUp: ({ vm }) => this.sendLookup(vm),
    abandon: ({ caller }) => this.abandonRequest(caller),
    killEntryVm: ({ vm }) => this.simulation.killEntryVm(this.pickVmId(vm)),
    freezeEntryVm: ({ vm }) => this.simulation.entryVms.get(this.pickVmId(vm))?.suspend(),
    drainEntryVm: ({ vm }) => this.simulation.drainEntryVm(this.pickVmId(vm)),
    reviveEntryVm: ({ vm }) => {
      this.simulation.entryVms.get(this.pickVmId(vm))?.resume();
      this.simulation.startEntryVm(this.pickVmId(vm));
    },
    killEndpoint: ({ endpoint }) => this.simulation.killEndpoint(this.pickEndpointId(endpoint)),
    freezeEndpoint: ({ endpoint }) => this.findProcess(endpoint)?.suspend(),
    reviveEndpoint: ({ endpoint }) => {
      this.findProcess(endpoint)?.resume();
      this.simulation.restartEndpoint(this.pickEndpointId(endpoint));
    },
    breakProtocol: ({ endpoint, fault }) => {
      const engine = this.simulation.engines.get(this.pickEndpointId(endpoint));
      if (engine !== undefined) engine.fault = fault;
    },
    askForChange: ({ vm, again }) => this.requestChange(vm, again),
    cut: ({ from, to }) => this.partition(from, to),
    heal: ({ from, to }) =>
      this.simulation.reconnect(this.pickLocation(from), this.pickLocation(to)),
    setPlatform: ({ mode }) => this.simulation.setPlatform(mode),
    commit: () => {
      this.simulation.commitConfiguration((configuration) => ({
        ...configuration,
        presetInForce: configuration.presetInForce === 'peak' ? 'ordinary' : 'peak',
      }));
    },
  };

  constructor(
    private readonly clock: FakeClock,
    settings: RunSettings,
  ) {
    this.configuration = createSmallConfiguration(settings.enginesPerDomain);
    this.simulation = new Simulation({
      seed: settings.seed,
      configuration: this.configuration,
      entryVms: createEntryVmDomains(settings.entryVmsPerDomain),
      network: UNRELIABLE_NETWORK,
      maxLogLines: settings.maxLogLines ?? 0,
    });
    this.vmIds = [...this.simulation.entryVms.keys()];
    this.endpointIds = [...this.simulation.engines.keys(), ...this.simulation.services.keys()];
    this.clock.advance(STARTUP_MS);
  }

  run(steps: readonly Step[]): void {
    steps.forEach((step) => {
      const handler = this.handlers[step.kind] as (step: Step) => void;
      handler(step);
    });
    this.finishRun();
  }

  /**
   * Clears all faults, lets every deadline pass, and checks the final state. Faults are cleared
   * twice, because a draining entry VM may end after the first time and must be restarted.
   */
  private finishRun(): void {
    this.simulation.clearFaults();
    this.clock.advance(CONFIGURATION_TIMEOUT_MS);
    this.simulation.clearFaults();
    this.clock.advance(CONFIGURATION_TIMEOUT_MS);
    this.simulation.assertConfigurationInForce();
    for (let waitedMs = 0; waitedMs < RECOVERY_TIMEOUT_MS; waitedMs += RECOVERY_CHECK_INTERVAL_MS) {
      if (this.simulation.isIdle()) break;
      this.clock.advance(RECOVERY_CHECK_INTERVAL_MS);
    }
    this.simulation.assertFinalState();
  }

  private sendChat(step: Extract<Step, { readonly kind: 'chat' }>): void {
    const requestId = this.createRequestId();
    this.simulation.request(this.pickVmId(step.vm), {
      kind: 'model',
      requestId,
      team: 'counter',
      timeoutMs: step.timeoutMs,
      digest: requestId,
      model: 'assistant',
      promptTokens: step.promptTokens,
      maxOutputTokens: step.outputTokens,
      prefixDigests: [],
    });
  }

  private sendNewBooking(step: Extract<Step, { readonly kind: 'book' }>): void {
    if (step.keyed) {
      const { booking, timeoutMs } = step;
      this.sendBooking(step.vm, `booking-${booking}`, `key-${booking}`, timeoutMs);
    } else {
      this.sendBooking(step.vm, `single-${this.nextRequestNumber}`, undefined, step.timeoutMs);
    }
  }

  private sendBooking(
    vm: number,
    digest: string,
    idempotencyKey: string | undefined,
    timeoutMs: number,
  ): void {
    this.simulation.request(this.pickVmId(vm), {
      kind: 'service',
      requestId: this.createRequestId(),
      team: 'office',
      timeoutMs,
      digest,
      service: 'booking',
      idempotency: 'nonIdempotent',
      idempotencyKey,
    });
  }

  private sendLookup(vm: number): void {
    const requestId = this.createRequestId();
    this.simulation.request(this.pickVmId(vm), {
      kind: 'service',
      requestId,
      team: 'office',
      timeoutMs: DEFAULT_TIMEOUT_MS,
      digest: requestId,
      service: 'booking',
      idempotency: 'idempotent',
      idempotencyKey: undefined,
    });
  }

  /** Requests a change based on the version that a VM has in force, or repeats the last request. */
  private requestChange(vm: number, again: boolean): void {
    const vmId = this.pickVmId(vm);
    if (!again || this.lastChange === undefined) {
      const baseVersion = this.simulation.entryVms.get(vmId)?.configurationVersion ?? 0;
      const presetInForce = this.nextRequestNumber % 2 === 0 ? 'ordinary' : 'peak';
      this.lastChange = {
        changeId: `change-${this.createRequestId()}`,
        baseVersion,
        configuration: { ...this.configuration, presetInForce },
        author: 'operator',
        submittedAtMs: 0,
      };
    }
    this.simulation.requestChange(vmId, this.lastChange);
  }

  private abandonRequest(caller: number): void {
    const openCallers = this.simulation.callers.filter(({ outcome }) => outcome === undefined);
    const target: FakeCaller | undefined = openCallers[caller % Math.max(1, openCallers.length)];
    if (target !== undefined) this.simulation.abandonRequest(target);
  }

  private partition(from: number, to: number): void {
    const [a, b] = [this.pickLocation(from), this.pickLocation(to)];
    if (a === b) return;
    this.simulation.partition(a, b);
  }

  private findProcess(endpoint: number) {
    const id = this.pickEndpointId(endpoint);
    return (this.simulation.engines.get(id) ?? this.simulation.services.get(id))?.process;
  }

  private createRequestId(): string {
    const requestId = `r${this.nextRequestNumber}`;
    this.nextRequestNumber += 1;
    return requestId;
  }

  private pickVmId(index: number): string {
    return this.vmIds[index % this.vmIds.length] ?? '';
  }

  private pickEndpointId(index: number): string {
    return this.endpointIds[index % this.endpointIds.length] ?? '';
  }

  private pickLocation(index: number): NetworkLocation {
    return this.locations[index % this.locations.length] ?? PLATFORM_LOCATION;
  }
}
