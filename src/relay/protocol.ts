/**
 * The protocol that instances of different builds speak with each other: messages, snapshots and
 * forwarded requests. docs/decisions/compatibility.md says what may change with a new number.
 */

/** What this build writes. */
export const PROTOCOL = 4;

/** The oldest protocol whose builds read partial messages and rely on no fixed interval. */
export const PARTIAL_PROTOCOL = 3;

/** The oldest protocol that is read; its messages carry no number. */
export const OLDEST_PROTOCOL = 1;
