export { startBalancer, type BalancerSettings } from './balancer/balancer-stand-in.js';
export { EngineSimulator } from './engine/engine-simulator.js';
export type * from './engine/types.js';
export {
  PlacementOrderHandler,
  type PlacementOrder,
  type PlacementOrderSettings,
  type ServedPlacement,
} from './engine/placement-order-handler.js';
export { startEngine, type EngineSettings } from './engine/engine-stand-in.js';
export {
  createCallerLimits,
  createEngineTraits,
  createGatewayContract,
  createStreamRoute,
} from './gateway/gateway-fixtures.js';
export {
  readBody,
  sendJson,
  startRouteServer,
  type RouteHandler,
  type RunningServer,
} from './http/route-server.js';
export { MALFORMED_HEADS } from './http/malformed-heads.js';
export { startPlatform, type PlatformSettings } from './platform/platform-stand-in.js';
export { TableStore } from './platform/table-store.js';
export { reservePort } from './ports/reserve-port.js';
export { startService, type ServiceSettings } from './service/service-stand-in.js';
