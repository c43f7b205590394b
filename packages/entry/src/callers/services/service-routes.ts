import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';
import { CallerOutput } from '../caller-output.js';
import { REQUEST_ID_HEADER, TIMEOUT_HEADER } from '../consts.js';
import { createServiceContract } from '../contracts.js';
import { copyEndToEndHeaders } from '../hop-by-hop.js';
import { OutputFlow } from '../output-flow.js';
import type { Arrival, CallerSession } from '../types.js';
import { createServiceExchange } from './service-exchange.js';
import { isPlainPath, type ServicePath } from './service-path.js';

/** Headers that go no further than savorywind, or are set anew for the service. */
const OWN_HEADERS = ['authorization', REQUEST_ID_HEADER, TIMEOUT_HEADER];

const copyServiceHeaders = ({ request, requestId }: Arrival) => {
  const headers = copyEndToEndHeaders(request.headers);
  OWN_HEADERS.forEach((name) => delete headers[name]);
  return { ...headers, [REQUEST_ID_HEADER]: requestId };
};

/** Opens a call to a plain service. */
export const openServiceCall = (
  arrival: Arrival,
  target: ServicePath,
): Result<CallerSession, Refusal> => {
  const { gateway, request, response, requestId, configuration, body } = arrival;
  if (!isPlainPath(target)) return Err({ code: resultCodes.invalidPath, ran: 'no' });
  const service = configuration.services.find(({ id }) => id === target.service);
  if (service === undefined) return Err({ code: resultCodes.unknownService, ran: 'no' });
  const contract = createServiceContract(arrival, service, target);
  if (contract.err) return contract;
  const flow = new OutputFlow();
  const { limits } = gateway.settings;
  const output = new CallerOutput(response, flow, limits, () =>
    gateway.recordSlowCaller(requestId),
  );
  return Ok({
    request: {
      contract: contract.val,
      method: request.method ?? 'GET',
      path: target.path + target.query,
      headers: copyServiceHeaders(arrival),
      body,
      flow,
    },
    exchange: createServiceExchange(response, output, requestId),
    measure: gateway.createMeasure(contract.val),
  });
};
