/**
 * Identifies a request that is sent again under another id: it has the same caller, method, path
 * and body.
 */
import { createHash } from 'node:crypto';
import type { Call } from './call.js';

/** Collisions can't be found on purpose, so that no caller can have another's request refused. */
const LENGTH_HEX = 24;

const fingerprints = new WeakMap<Call, string>();

export function fingerprintOf(call: Call): string {
  const known = fingerprints.get(call);
  if (known !== undefined) return known;
  const {
    workspace, method, route, target, body,
  } = call;
  const head = JSON.stringify([workspace?.name ?? null, method, route.host, target]);
  const fingerprint = createHash('sha256').update(head).update('\n').update(body)
    .digest('hex')
    .slice(0, LENGTH_HEX);
  fingerprints.set(call, fingerprint);
  return fingerprint;
}
