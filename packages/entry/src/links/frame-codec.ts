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
 * Encodes and decodes the frames of one connection. Each property name is sent once per direction and
 * referred to by later frames, so all frames must be decoded in the order in which they were encoded.
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

  /** Decodes a message and checks only its `kind`; the receiver validates the other fields. */
  decodeMessage(frame: Uint8Array): Result<LinkMessage, string> {
    return this.decode(frame, messageSchema) as Result<LinkMessage, string>;
  }

  private decode<Value>(frame: Uint8Array, schema: z.ZodType<Value>): Result<Value, string> {
    try {
      const parsed = schema.safeParse(this.unpackr.unpack(frame));
      return parsed.success ? Ok(parsed.data) : Err(parsed.error.message);
    } catch (error) {
      return Err((error as Error).message);
    }
  }
}
