import type { RequestId } from '@savorywind/model';
import type { CallerSession } from '../callers/types.js';

/** Callers that wait for an answer, by request. */
export class CallerSessions {
  private readonly sessions = new Map<RequestId, CallerSession>();

  get count(): number {
    return this.sessions.size;
  }

  add(session: CallerSession): void {
    this.sessions.set(session.request.contract.requestId, session);
  }

  find(requestId: RequestId): CallerSession | undefined {
    return this.sessions.get(requestId);
  }

  /** Removes a session and returns it. */
  take(requestId: RequestId): CallerSession | undefined {
    const session = this.sessions.get(requestId);
    this.sessions.delete(requestId);
    return session;
  }
}
