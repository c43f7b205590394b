const WHOLE_NUMBER = /^\d{1,15}$/;

/**
 * Checks that the ids of a stream's events increase. An engine that resumes a stream and begins with
 * events that the caller already has would repeat them. Ids that are not whole numbers have no known
 * order and are accepted.
 *
 * @example
 * const order = new EventOrder('7');
 * order.accept('8'); // true
 * order.accept('8'); // false
 */
export class EventOrder {
  /** @param lastId id of the last event that the caller has; undefined if it has none */
  constructor(private lastId: string | undefined) {}

  /** Returns whether an event with this id may follow the ones before it. */
  accept(id: string | undefined): boolean {
    if (id === undefined) return true;
    const { lastId } = this;
    this.lastId = id;
    if (lastId === undefined || !WHOLE_NUMBER.test(lastId) || !WHOLE_NUMBER.test(id)) return true;
    return Number(id) > Number(lastId);
  }
}
