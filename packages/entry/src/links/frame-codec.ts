import { Packr, Unpackr } from 'msgpackr';
import { Err, Ok, type LinkMessage, type Result } from '@savorywind/model';
import * as z from 'zod';
import type { LinkHello } from './types.js';

const helloSchema = z.object({
  protocol: z.number().int(),
  vm: z.object({
    id: z.string().min(1),
    incarnation: z.number().int().nonnegative(),
    failureDomain: z.string().min(1),
    link: z.object({ host: z.string().min(1), port: z.number().int().min(0).max(65_535) }),
  }),
});

const messageSchema = z.looseObject({ kind: z.string().regex(/^[a-z]+\.[a-zA-Z]+$/) });

/**
 * Frames of one connection. Property names travel once in each direction: later frames refer to
 * them, so frames are decoded in the order in which they were encoded, and none may be left out.
 *
 * @example
 * const frame = codec.encode({ kind: 'request.probe', requestId: 'a-1' });
 * const message = peerCodec.decodeMessage(frame);
 */
export class FrameCodec {
  private readonly packr = new Packr({ sequential: true });

  private readonly unpackr = new Unpackr({ sequential: true });

  encode(value: LinkHello | LinkMessage): Uint8Array {
    return Uint8Array.from(this.packr.pack(value));
  }

  decodeHello(frame: Uint8Array): Result<LinkHello, string> {
    return this.decode(frame, helloSchema);
  }

  /** Checks the frame and that the value names its kind; the parts are the receiver's to check. */
  decodeMessage(frame: Uint8Array): Result<LinkMessage, string> {
    return this.decode(frame, messageSchema) as Result<LinkMessage, string>;
  }

  private decode<Value>(frame: Uint8Array, schema: z.ZodType<Value>): Result<Value, string> {
    try {
      const parsed = schema.safeParse(this.unpackr.unpack(frame));
      return parsed.success ? Ok(parsed.data) : Err(parsed.error.message);
    } catch (fault) {
      return Err((fault as Error).message);
    }
  }
}
