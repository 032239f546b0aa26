/** Which versions a request may be offered in each phase of an order. */
import type { Phase } from './phase.js';

/**
 * `first`: the request was sent nowhere yet. `again`: it was, but nothing of an answer is known to
 * its caller. `bound`: a stream whose caller has events, which continues only at its version.
 */
export type RequestKind = 'first' | 'again' | 'bound';

export type OfferedSide = 'target' | 'others';

export interface OfferInputs {
  readonly phase: Phase;
  readonly kind: RequestKind;
  /** Whether the service has servers of other versions. */
  readonly hasOthers: boolean;
  /** Time since the target was found to be bad; undefined if it was not. */
  readonly badMs: number | undefined;
  /**
   * How long streams that began at a bad version continue there. Later, those that are sent to
   * another server of it would break the bound on the time in which a bad version gets requests.
   */
  readonly boundGraceMs: number;
  readonly mayExpose: boolean;
  readonly mayMove: boolean;
  /** Whether all requests move. */
  readonly isMovingWhole: boolean;
}

const BOTH: readonly OfferedSide[] = ['target', 'others'];
const TARGET: readonly OfferedSide[] = ['target'];
const OTHERS: readonly OfferedSide[] = ['others'];

/** The sides to choose a server of, the preferred one first. */
export function preferences({
  phase, kind, hasOthers, badMs, boundGraceMs, mayExpose, mayMove, isMovingWhole,
}: OfferInputs): readonly OfferedSide[] {
  switch (phase) {
    case 'free': return BOTH;
    case 'completed': return TARGET;
    case 'rolled_back': return OTHERS;
    case 'held':
      return kind === 'bound' && (badMs ?? 0) < boundGraceMs ? BOTH : OTHERS;
    case 'canary':
      if (!hasOthers) return TARGET;
      if (kind === 'bound') return BOTH;
      return kind === 'first' && mayExpose ? BOTH : OTHERS;
    case 'moving':
      if (!hasOthers) return TARGET;
      if (kind === 'bound' || isMovingWhole) return BOTH;
      return kind === 'first' && mayMove ? BOTH : OTHERS;
    case 'draining':
      return kind === 'bound' ? BOTH : TARGET;
  }
}
