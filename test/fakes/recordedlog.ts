/** A log that records its events. */
import type { Log, LogFields } from '../../src/common/log.js';

export class RecordedLog implements Log {
  readonly events: { readonly event: string; readonly fields: LogFields }[] = [];

  event(_: unknown, event: string, fields: LogFields = {}): void {
    this.events.push({ event, fields });
  }

  of(event: string): readonly LogFields[] {
    return this.events.filter((entry) => entry.event === event).map(({ fields }) => fields);
  }
}
