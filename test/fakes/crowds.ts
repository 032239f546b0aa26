/** The crowds of clients that nobody controls, by what they send. */
import type { CrowdPlan } from './crowd.js';
import { requestHead } from './processdeployment.js';

const CONNECTIONS = 60;
/** One-byte chunks cost the processor much more than they send. */
const SMALL_CHUNK_CONNECTIONS = 30;

export const KILOBYTES_64 = 65_536;
export const LEGAL_PARTS = 64;
export const PART = Buffer.alloc(KILOBYTES_64, 'x');
export const LARGE_CHUNK = Buffer.concat([Buffer.from('10000\r\n'), PART, Buffer.from('\r\n')]);
export const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));
export const CHUNKED = { 'Transfer-Encoding': 'chunked' };
export const LEGAL_LENGTH = { 'Content-Length': String(LEGAL_PARTS * KILOBYTES_64) };
export const EXCESSIVE_LENGTH = { 'Content-Length': String(4 * LEGAL_PARTS * KILOBYTES_64) };

export function head(target: string, headers: Readonly<Record<string, string>>) {
  return (index: number) => requestHead(`crowd-${index}`, target, headers);
}

export const CROWDS: Readonly<Record<string, CrowdPlan>> = {
  'large chunks that stop short of the end': {
    connections: CONNECTIONS, head: head('/safe/x', CHUNKED), part: LARGE_CHUNK, parts: LEGAL_PARTS,
  },
  'chunks of one byte': {
    connections: SMALL_CHUNK_CONNECTIONS,
    head: head('/safe/x', CHUNKED),
    part: SMALL_CHUNKS,
    parts: 24,
  },
  'bodies announced as far over the limit': {
    connections: CONNECTIONS,
    head: head('/safe/x', EXCESSIVE_LENGTH),
    part: PART,
    parts: 4 * LEGAL_PARTS - 1,
  },
  'bodies far over the limit that are just sent': {
    connections: CONNECTIONS,
    head: head('/safe/x', CHUNKED),
    part: LARGE_CHUNK,
    parts: 4 * LEGAL_PARTS,
  },
  'bodies of a legal length that stop short': {
    connections: CONNECTIONS,
    head: head('/safe/x', LEGAL_LENGTH),
    part: PART,
    parts: LEGAL_PARTS - 1,
  },
  'whole bodies of a legal length, all at once': {
    connections: CONNECTIONS,
    head: head('/safe/x?ms=3000', LEGAL_LENGTH),
    part: PART,
    parts: LEGAL_PARTS,
  },
  'prompts of streams that stop short': {
    connections: CONNECTIONS,
    head: head('/stream/x', LEGAL_LENGTH),
    part: PART,
    parts: LEGAL_PARTS - 1,
  },
  'bodies for a path without a route': {
    connections: CONNECTIONS,
    head: head('/nowhere/x', LEGAL_LENGTH),
    part: PART,
    parts: LEGAL_PARTS - 1,
  },
};
