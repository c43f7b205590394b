import {
  resultCodes,
  type Configuration,
  type Engine,
  type EndpointId,
  type RequestId,
} from '@savorywind/model';
import type { Router, SlotAsk, SlotListener, SlotOutcome } from './types.js';

const RETRY_AFTER_MS = 1_000;

interface Slot {
  readonly engine: Engine;
  readonly tokens: number;
}

interface Waiting {
  readonly ask: SlotAsk;
  readonly listener: SlotListener;
}

const countTokens = ({ contract }: SlotAsk): number =>
  contract.promptTokens + contract.maxOutputTokens;

/** Places work on the engine with the least tokens in flight from this entry VM, first come first. */
export class LocalRouter implements Router {
  private readonly slots = new Map<RequestId, Slot>();

  private readonly usedTokens = new Map<EndpointId, number>();

  private waiting: Waiting[] = [];

  constructor(private readonly readConfiguration: () => Configuration | undefined) {}

  askSlot(ask: SlotAsk, listener: SlotListener): void {
    const engines = this.listEngines(ask.contract.model);
    if (engines.length === 0) {
      listener({
        kind: 'refused',
        refusal: { code: resultCodes.noEndpoint, ran: 'no', retryAfterMs: RETRY_AFTER_MS },
      });
      return;
    }
    if (engines.every(({ memoryTokens }) => memoryTokens < countTokens(ask))) {
      listener({ kind: 'refused', refusal: { code: resultCodes.promptTooLong, ran: 'no' } });
      return;
    }
    this.waiting.push({ ask, listener });
    this.grantWaiting();
  }

  withdrawAsk(requestId: RequestId): void {
    this.waiting = this.waiting.filter(({ ask }) => ask.contract.requestId !== requestId);
  }

  // eslint-disable-next-line @typescript-eslint/no-unused-vars
  releaseSlot(requestId: RequestId, outcome: SlotOutcome): void {
    const slot = this.slots.get(requestId);
    if (slot === undefined) return;
    this.slots.delete(requestId);
    this.usedTokens.set(slot.engine.id, this.readUsed(slot.engine) - slot.tokens);
    this.grantWaiting();
  }

  private grantWaiting(): void {
    const { waiting } = this;
    this.waiting = [];
    const granted: (() => void)[] = [];
    waiting.forEach((entry) => {
      const engine = this.findEngine(entry.ask);
      if (engine === undefined) {
        this.waiting.push(entry);
        return;
      }
      const tokens = countTokens(entry.ask);
      this.slots.set(entry.ask.contract.requestId, { engine, tokens });
      this.usedTokens.set(engine.id, this.readUsed(engine) + tokens);
      granted.push(() => entry.listener({ kind: 'granted', engine, priority: 0 }));
    });
    granted.forEach((notify) => notify());
  }

  private findEngine(ask: SlotAsk): Engine | undefined {
    const tokens = countTokens(ask);
    const fitting = this.listEngines(ask.contract.model).filter(
      (engine) => engine.memoryTokens - this.readUsed(engine) >= tokens,
    );
    const untried = fitting.filter(({ id }) => !ask.avoid?.has(id));
    const candidates = untried.length > 0 ? untried : fitting;
    return candidates.sort((a, b) => this.readUsed(a) - this.readUsed(b))[0];
  }

  private listEngines(model: string): Engine[] {
    const endpoints = this.readConfiguration()?.endpoints ?? [];
    return endpoints.filter(
      (endpoint): endpoint is Engine => endpoint.kind === 'engine' && endpoint.model === model,
    );
  }

  private readUsed(engine: Engine): number {
    return this.usedTokens.get(engine.id) ?? 0;
  }
}
