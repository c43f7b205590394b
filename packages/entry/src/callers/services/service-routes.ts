import { Err, Ok, resultCodes, type Refusal, type Result } from '@savorywind/model';
import { ResponseStream } from '../response-stream.js';
import { REQUEST_ID_HEADER, TIMEOUT_HEADER } from '../consts.js';
import { createServiceContract } from '../contracts.js';
import { copyEndToEndHeaders } from '../hop-by-hop.js';
import { FlowControl } from '../flow-control.js';
import type { AcceptedRequest, CallerSession } from '../types.js';
import { createServiceResponseWriter } from './service-response-writer.js';
import { isUnambiguousPath, type ServicePath } from './service-path.js';

/** Headers that are not forwarded to the service; the request id is set again afterwards. */
const UNFORWARDED_HEADERS = ['authorization', REQUEST_ID_HEADER, TIMEOUT_HEADER];

const copyServiceHeaders = ({ request, requestId }: AcceptedRequest) => {
  const headers = copyEndToEndHeaders(request.headers);
  UNFORWARDED_HEADERS.forEach((name) => delete headers[name]);
  return { ...headers, [REQUEST_ID_HEADER]: requestId };
};

/** Validates a call to a plain service and creates its session. */
export const openServiceSession = (
  accepted: AcceptedRequest,
  target: ServicePath,
): Result<CallerSession, Refusal> => {
  const { context, request, response, requestId, configuration, body } = accepted;
  if (!isUnambiguousPath(target)) return Err({ code: resultCodes.invalidPath, ran: 'no' });
  const service = configuration.services.find(({ id }) => id === target.service);
  if (service === undefined) return Err({ code: resultCodes.unknownService, ran: 'no' });
  const contract = createServiceContract(accepted, service, target);
  if (contract.err) return contract;
  const responseFlow = new FlowControl();
  const { limits } = context.settings;
  const responseStream = new ResponseStream(response, responseFlow, limits, () =>
    context.recordStalledCaller(requestId),
  );
  return Ok({
    request: {
      contract: contract.val,
      method: request.method ?? 'GET',
      path: target.path + target.query,
      headers: copyServiceHeaders(accepted),
      body,
      flowControl: responseFlow,
    },
    responseWriter: createServiceResponseWriter(response, responseStream, requestId),
    measurement: context.createMeasurement(contract.val),
  });
};
