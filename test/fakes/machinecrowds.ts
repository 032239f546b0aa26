/** Crowds of clients that nobody controls against an instance on the smallest machine. */
import type { CrowdPlan } from './crowd.js';
import {
  CHUNKED, EXCESSIVE_LENGTH, head, LARGE_CHUNK, LEGAL_LENGTH, LEGAL_PARTS, PART, SMALL_CHUNKS,
} from './crowds.js';
import { emptyRequest, requestHead } from './processdeployment.js';

/** With less time between two answers than this, a crowd is not settled. */
const SLOW_SETTLED_MS = 3_000;
const AHEAD = 40;
const SMALL_BODY = 'x'.repeat(60_000);
/** Below the length up to which bodies count as small. */
const SMALL_LENGTH = 65_000;
const NOTHING = { part: Buffer.alloc(0), parts: 0 };
const COUNTS = Array.from({ length: AHEAD }, (_, count) => count);

/** Requests sent one after the other without waiting for their answers. */
function ahead(request: (id: string) => string) {
  return (index: number) => COUNTS.map((count) => request(`crowd-${index}-${count}`)).join('');
}

function unfinished(headers: Readonly<Record<string, string>>) {
  return (index: number) => requestHead(`crowd-${index}`, '/safe/x', headers).slice(0, -2);
}

const RETURNING: readonly CrowdPlan[] = [
  { head: head('/safe/x', CHUNKED), part: LARGE_CHUNK, parts: LEGAL_PARTS },
  { head: head('/safe/x', EXCESSIVE_LENGTH), part: PART, parts: 4 * LEGAL_PARTS },
  { head: head('/safe/x', CHUNKED), part: SMALL_CHUNKS, parts: 24 },
  { head: head('/stream/x', LEGAL_LENGTH), part: PART, parts: LEGAL_PARTS - 1 },
  { head: head('/nowhere/x', LEGAL_LENGTH), part: PART, parts: LEGAL_PARTS },
].map((plan) => ({ ...plan, connections: 30, returns: 20 }));

const KINDS: Readonly<Record<string, CrowdPlan>> = {
  'small requests sent ahead of their answers': {
    connections: 100,
    head: ahead((id) => emptyRequest(id, '/safe/x?ms=1500')),
    requests: AHEAD,
    ...NOTHING,
    settledMs: SLOW_SETTLED_MS,
  },
  'the shortest requests sent ahead of an answer': {
    connections: 100,
    head: (index) => emptyRequest(`crowd-${index}`, '/safe/x?ms=3000')
      + 'GET / HTTP/1.1\r\nHost:x\r\n\r\n'.repeat(2_000),
    ...NOTHING,
    settledMs: SLOW_SETTLED_MS,
  },
  'whole bodies sent ahead of answers that are not read': {
    connections: 100,
    head: ahead((id) => requestHead(id, '/safe/x', {
      'Content-Length': String(SMALL_BODY.length),
    }) + SMALL_BODY),
    requests: AHEAD,
    ...NOTHING,
    isDeaf: true,
    settledMs: SLOW_SETTLED_MS,
  },
  'long answers that are not read': {
    connections: 60,
    head: (index) => emptyRequest(`crowd-${index}`, '/safe/x?bytes=7000000'),
    ...NOTHING,
    isDeaf: true,
    settledMs: SLOW_SETTLED_MS,
  },
  'long answers that are read': {
    connections: 60,
    head: (index) => emptyRequest(`crowd-${index}`, '/safe/x?bytes=7000000'),
    ...NOTHING,
  },
  'trailers without end': {
    connections: 100,
    head: (index) => `${head('/safe/x', CHUNKED)(index)}0\r\n`,
    part: Buffer.from('x-trailer: 0123456789\r\n'.repeat(2_000)),
    parts: LEGAL_PARTS,
  },
  'chunk extensions': {
    connections: 100,
    head: head('/safe/x', CHUNKED),
    part: Buffer.from(`1;${'x'.repeat(4_000)}\r\nx\r\n`.repeat(16)),
    parts: LEGAL_PARTS,
  },
  'heads that stop short of their end': {
    connections: 900,
    head: unfinished({ 'X-Long': 'x'.repeat(15_000) }),
    ...NOTHING,
  },
  'small bodies that stop short of their end': {
    connections: 800,
    head: (index) => head('/safe/x', { 'Content-Length': String(SMALL_LENGTH) })(index)
      + 'x'.repeat(SMALL_LENGTH - 1),
    ...NOTHING,
  },
  'bodies that come a little at a time': {
    connections: 100,
    head: head('/safe/x', LEGAL_LENGTH),
    part: PART.subarray(0, 16_384),
    parts: 200,
    pauseMs: 25,
  },
  'bodies that wait to be asked for': {
    connections: 100,
    head: head('/safe/x', { ...LEGAL_LENGTH, Expect: '100-continue' }),
    ...NOTHING,
  },
  'bodies of callers with unknown keys': {
    connections: 100,
    head: head('/safe/x', { ...CHUNKED, Credential: 'unknown' }),
    part: LARGE_CHUNK,
    parts: LEGAL_PARTS,
  },
};

export const MACHINE_CROWDS: Readonly<Record<string, readonly CrowdPlan[]>> = {
  ...Object.fromEntries(Object.entries(KINDS).map(([name, plan]) => [name, [plan]])),
  'clients that come again at once': RETURNING,
  'clients of all kinds at once': Object.values(KINDS)
    .map((plan) => ({ ...plan, connections: Math.ceil(plan.connections / 10) })),
};
