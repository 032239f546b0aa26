/**
 * Authentication and encoding of the calls between peers. Every body, in both directions, is signed
 * with the peers' shared key. A request's signature covers its time and a nonce, and an answer's
 * covers the request's nonce, so that neither can be replayed. Large bodies are compressed.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { IncomingMessage } from 'node:http';
import { equalSecrets, sign } from '../common/hash.js';

export const TIME_HEADER = 'x-peer-time';
export const NONCE_HEADER = 'x-peer-nonce';
export const SIGNATURE_HEADER = 'x-peer-signature';
export const ENCODING_HEADER = 'x-peer-encoding';
export const PEER_PATH = '/peer';

/** The largest encoded body; a complete configuration, compressed, is smaller. */
export const MAX_BODY_BYTES = 1_048_576;
const MAX_INFLATED_BYTES = 4 * MAX_BODY_BYTES;
/** Tolerated difference between the wall clocks of two daemons. */
export const MAX_SKEW_MS = 60_000;
const MIN_COMPRESSED_BYTES = 512;
const COMPRESSION_LEVEL = 1;

export type Encoding = 'plain' | 'deflate';

export interface EncodedBody { readonly encoding: Encoding; readonly bytes: Buffer }

export function encodeBody(text: string): EncodedBody {
  const bytes = Buffer.from(text);
  return bytes.length < MIN_COMPRESSED_BYTES
    ? { encoding: 'plain', bytes }
    : { encoding: 'deflate', bytes: deflateRawSync(bytes, { level: COMPRESSION_LEVEL }) };
}

/** Throws if the body can't be inflated or is too large when inflated. */
export function decodeBody({ encoding, bytes }: EncodedBody): string {
  const plain = encoding === 'plain'
    ? bytes
    : inflateRawSync(bytes, { maxOutputLength: MAX_INFLATED_BYTES });
  return plain.toString();
}

/** The fields that a signature covers in addition to the body. */
export interface SignedFields {
  readonly direction: 'request' | 'answer';
  /** The request's path, or the answer's status. */
  readonly subject: string;
  readonly time: string;
  readonly nonce: string;
}

export function signatureOf(signed: SignedFields, body: EncodedBody, key: string): string {
  const {
    direction, subject, time, nonce,
  } = signed;
  const content = body.bytes.toString('base64');
  return sign([direction, subject, time, nonce, body.encoding, content].join('\n'), key);
}

export function verifies(
  signed: SignedFields,
  body: EncodedBody,
  key: string,
  signature: string,
): boolean {
  return equalSecrets(signatureOf(signed, body, key), signature);
}

export function encodingOf(header: unknown): Encoding {
  return header === 'deflate' ? 'deflate' : 'plain';
}

/** Reads the whole body; rejects if it is over the limit or the connection ends early. */
export async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  // eslint-disable-next-line no-restricted-syntax -- Chunks arrive one after another.
  for await (const chunk of message) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAX_BODY_BYTES) throw new RangeError('body exceeds the size limit');
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}
