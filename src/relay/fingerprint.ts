/**
 * Identifies a request that is sent again under another id: it has the same caller, method, path
 * and body, and the same prompt if its headers name one.
 */
import { createHash } from 'node:crypto';
import { hash64 } from '../common/hash.js';
import type { Fingerprint } from '../limits/crashevidence.js';
import type { Call } from './call.js';

/** Collisions can't be found on purpose, so that no caller can have another's request refused. */
const LENGTH_HEX = 24;
/** Only tells apart the prompts of requests that are the same otherwise. */
const PROMPT_LENGTH_HEX = 8;

const fingerprints = new WeakMap<Call, Fingerprint>();

function hashOf({
  workspace, method, route, target, body,
}: Call): string {
  const head = JSON.stringify([workspace?.name ?? null, method, route.host, target]);
  return createHash('sha256').update(head).update('\n').update(body)
    .digest('hex')
    .slice(0, LENGTH_HEX);
}

export function fingerprintOf(call: Call): Fingerprint {
  const known = fingerprints.get(call);
  if (known !== undefined) return known;
  const { model = '', parts } = call.fields;
  const prompt = hash64([model, ...parts.map(({ id }) => id)].join('\n'));
  const fingerprint = parts.length === 0 ? hashOf(call)
    : `${hashOf(call)}/${prompt.slice(0, PROMPT_LENGTH_HEX)}`;
  fingerprints.set(call, fingerprint);
  return fingerprint;
}
