/** The command that reconstructs a request's timeline from the instances' logs. */
import { formatFields } from '../common/log.js';
import type { Command } from './command.js';
import { readLogs, STANDARD_INPUT } from './logfiles.js';
import type { ReadCounts } from './logfiles.js';
import { TimelineBuilder } from './timeline.js';
import type {
  Ending, InstanceTimeline, LostServer, Timeline, TimelineLine,
} from './timeline.js';

/** Short descriptions of log events; an event that isn't listed is printed by its name. */
const EVENT_DESCRIPTIONS: Readonly<Record<string, string>> = {
  answered: 'the answer ended',
  attempt_failed: 'the attempt was lost',
  cancel: 'the attempt was cancelled',
  crash_recorded: 'an engine crashed before it answered',
  configuration: 'a configuration came into force',
  configuration_in_force: 'a configuration came into force',
  dispatch: 'sent to a server',
  drop: 'an event of an engine was left out',
  forward: 'sent to another instance',
  forward_failed: 'no other instance served it',
  parts_quarantined: 'requests with these parts are refused from now on',
  parts_released: 'requests with these parts are no longer refused',
  open_answer: 'open when the instance\'s stop changed its state',
  paused: 'the process stood still',
  peer_lost: 'another instance fell silent',
  peer_reached: 'another instance was heard of',
  refuse: 'refused',
  request_quarantined: 'the request with this fingerprint is refused from now on',
  request_released: 'the request with this fingerprint is no longer refused',
  resumed: 'the answer went on',
  retry: 'to be tried elsewhere',
  route: 'a server was chosen',
  server_held: 'the server gets nothing for a time',
  server_held_back: 'a removed server was listed again by a restored store',
  server_limit: 'the server named another rate limit',
  server_limit_unreadable: 'the server named a rate limit that can\'t be read',
  server_listed: 'the server\'s entry was read',
  server_pace: 'the server was found slower or faster, or to take more or fewer requests well',
  server_reached: 'the server was reached again',
  server_removed: 'the server was taken as gone',
  server_suspected: 'the server was not reached',
  service_brittle: 'the service\'s servers say how many requests they can turn away',
  service_reached: 'a server of the service answered again',
  service_unreached: 'no server of the service answered',
  started: 'the instance started',
  stop: 'the instance\'s stop changed its state',
  stop_refused: 'it was not expected to end before the limit of the stop',
  store_lost: 'the store was lost',
  store_regained: 'the store answered again',
  store_restored: 'the store came back from a backup',
  stream_ended: 'the stream ended',
  stream_origin_ambiguous: 'it is not known at which software version the stream began',
  taken_up: 'the caller takes up a stream',
  unplaced: 'no server could be chosen',
};
const OFFSET_WIDTH = 9;

function endingText(ending: Ending): string {
  switch (ending.kind) {
    case 'answered': return `answered whole with ${ending.status} after ${ending.ms} ms`;
    case 'broken_off':
      return ending.status === 0
        ? `the caller left, or was cut off, before an answer began, after ${ending.ms} ms`
        : `the answer with ${ending.status} broke off after ${ending.ms} ms`;
    case 'cut':
      return `cut off at the limit of the stop after ${ending.ageMs} ms, ${ending.stage}`;
    case 'refused': {
      const retryText = ending.retryAfterMs === undefined ? ''
        : `; the caller may come back after ${ending.retryAfterMs} ms`;
      return `refused (${ending.code}, ran: ${ending.ran}): ${ending.reason}${retryText}`;
    }
    case 'open': return 'no line tells its end: the instance was lost, or the log is cut off';
  }
}

function lineText({
  offsetMs, event, fields, own,
}: TimelineLine): string {
  const rest = Object.fromEntries(Object.entries(fields).filter(([name]) => name !== 'request'));
  const sign = offsetMs < 0 ? '-' : '+';
  const offset = `${sign}${Math.abs(offsetMs)} ms`.padStart(OFFSET_WIDTH);
  const description = EVENT_DESCRIPTIONS[event] ?? event;
  return `${own ? '  ' : '  | '}${offset}  ${description}: ${formatFields(rest)}`;
}

function instanceText({
  instance, startedAt, lines, ending,
}: InstanceTimeline): string[] {
  return [
    `${instance || 'an instance without a name'}, from ${startedAt} by its clock:`,
    ...lines.map(lineText),
    `  end: ${endingText(ending)}`,
  ];
}

function lostServerText({ server, by, notBy }: LostServer): string {
  const others = notBy.length === 0 ? ''
    : `; ${notBy.length} other instances did not: ${notBy.join(', ')}`;
  return `server ${server} was lost by ${by.join(', ')}${others}`;
}

function timelineText({
  request, instances, lost, notes,
}: Timeline): string {
  return [
    `request ${request}`,
    ...instances.flatMap(instanceText),
    ...lost.map(lostServerText),
    ...notes.map((note) => `note: ${note}`),
  ].join('\n');
}

function readCountsText({ lines, unreadable }: ReadCounts): string {
  return `${lines} lines read, ${unreadable} of them not log lines`;
}

const explain: Command = {
  name: 'explain',
  summary: 'Tells a request\'s story from the instances\' log files, or from standard input.',
  operands: 'REQUEST [FILE...]',
  arity: [1, Infinity],
  options: {
    log: { type: 'string', multiple: true, help: 'a log file, - for standard input; may repeat' },
  },
  run: async ({
    positionals: [request = '', ...files], lists, terminal, input,
  }) => {
    const builder = TimelineBuilder.of(request);
    const sources = [...lists.log ?? [], ...files];
    const read = await readLogs(sources.length > 0 ? sources : [STANDARD_INPUT], input, (line) => (
      builder.add(line)));
    if (read.isErr()) {
      terminal.error(read.error);
      return 1;
    }
    const timeline = builder.build();
    if (timeline.instances.length === 0) {
      if (terminal.json) terminal.result({ ...timeline, read: read.value }, () => '');
      terminal.error(`no line names the request ${request}; ${readCountsText(read.value)}`);
      return 1;
    }
    terminal.result({ ...timeline, read: read.value }, timelineText);
    if (read.value.unreadable > 0) terminal.error(readCountsText(read.value));
    return 0;
  },
};

export const LOG_COMMANDS: readonly Command[] = [explain];
