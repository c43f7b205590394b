const WHOLE_NUMBER = /^\d{1,15}$/;

/**
 * Checks that the events of a resumed stream follow the last one that the caller has: their ids increase.
 * An engine that begins with earlier events would repeat them. Ids that are not whole numbers have no known
 * order, so only the same id again is refused. A stream that is not resumed is not checked.
 *
 * @example
 * const order = new EventOrder('7');
 * order.accept('8'); // true
 * order.accept('8'); // false
 */
export class EventOrder {
  /** @param lastId id of the last event that the caller has; undefined if the stream is not resumed */
  constructor(private lastId: string | undefined) {}

  /** Returns whether an event with this id may follow the ones before it. */
  accept(id: string | undefined): boolean {
    const { lastId } = this;
    if (id === undefined || lastId === undefined) return true;
    this.lastId = id;
    if (!WHOLE_NUMBER.test(lastId) || !WHOLE_NUMBER.test(id)) return id !== lastId;
    return Number(id) > Number(lastId);
  }
}
