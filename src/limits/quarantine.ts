/** What is refused because it crashes servers: single requests, and parts that prompts share. */
import { withoutPrompt } from './crashevidence.js';
import type { CrashEvidence, Fingerprint } from './crashevidence.js';
import { partQuarantines } from './partquarantine.js';
import type { PartQuarantine } from './partquarantine.js';
import { requestQuarantines } from './requestquarantine.js';
import type { RequestQuarantine } from './requestquarantine.js';

export type Quarantine = PartQuarantine | RequestQuarantine;

/** What a quarantine is checked against. */
export interface Subject {
  /** The parts of the prompt that others can share. */
  readonly parts: readonly string[];
  readonly request: Fingerprint;
}

export function quarantines(evidence: CrashEvidence): readonly Quarantine[] {
  return [...requestQuarantines(evidence), ...partQuarantines(evidence)];
}

/** What a quarantine refuses, for the log. */
export function nameOf(quarantine: Quarantine): string {
  switch (quarantine.kind) {
    case 'parts': return quarantine.parts.join(',');
    case 'request': return quarantine.request;
  }
}

function concerns(quarantine: Quarantine, { parts, request }: Subject): boolean {
  switch (quarantine.kind) {
    case 'parts': return quarantine.parts.every((part) => parts.includes(part));
    case 'request': return [request, withoutPrompt(request)].includes(quarantine.request);
  }
}

/** The quarantine that a request falls under; undefined if there is none. */
export function quarantineOf(
  found: readonly Quarantine[],
  subject: Subject,
): Quarantine | undefined {
  return found.find((quarantine) => concerns(quarantine, subject));
}
