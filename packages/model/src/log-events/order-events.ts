import { defineEvents } from './define-events.js';

/** Events 700 to 799: leases, and orders to engines. */
export const orderEvents = defineEvents({
  leaseTaken: [701, 'info', 'this entry VM acquired the lease for orders in its failure domain'],
  leaseLost: [702, 'warn', 'the lease for orders expired or was taken by another entry VM'],
  orderGiven: [703, 'info', 'order given to an engine'],
  orderRefused: [704, 'warn', 'engine refused an order'],
  orderUnanswered: [705, 'warn', 'engine did not answer an order; its state is read back'],
  placementReached: [706, 'info', 'engine serves its declared placement'],
});
