/**
 * Findings: what is wrong with an input, and where. Checks collect all of them and report them
 * together rather than stopping at the first.
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
  /** Dotted path of the key that the finding is about, such as `workspaces.hotel.weight`. */
  readonly path: string;
  /** What is wrong, and what would be allowed. */
  readonly message: string;
}

/** `file:line:column path: message`, as compilers print it. */
export function formatFinding(finding: Finding): string {
  const { place } = finding;
  const prefix = place ? `${place.file}:${place.line}:${place.column} ` : '';
  return `${prefix}${finding.path}: ${finding.message}`;
}

export function hasErrors(findings: readonly Finding[]): boolean {
  return findings.some((finding) => finding.severity === 'error');
}
