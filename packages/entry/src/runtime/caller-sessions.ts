import type { RequestId } from '@savorywind/model';
import type { CallerSession } from '../callers/types.js';

/** Sessions of requests that wait for a response, by request id. */
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
  remove(requestId: RequestId): CallerSession | undefined {
    const session = this.sessions.get(requestId);
    this.sessions.delete(requestId);
    return session;
  }
}
