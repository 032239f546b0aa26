/**
 * Findings: the errors and warnings in an input, with their places. Checks collect all of them
 * rather than stop at the first.
 */
export type Severity = 'error' | 'warning';

export interface Place {
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
  /** Counted from 1. */
  readonly column: number;
}

export interface Finding {
  readonly severity: Severity;
  readonly place?: Place;
  /** Dotted path of the key that the finding concerns, such as `workspaces.hotel.weight`. */
  readonly path: string;
  /** The problem, and which values are allowed. */
  readonly message: string;
}

/** Formats a finding as `file:line:column path: message`, like a compiler's diagnostics. */
export function formatFinding(finding: Finding): string {
  const { place } = finding;
  const prefix = place ? `${place.file}:${place.line}:${place.column} ` : '';
  return `${prefix}${finding.path}: ${finding.message}`;
}

export function hasErrors(findings: readonly Finding[]): boolean {
  return findings.some((finding) => finding.severity === 'error');
}
