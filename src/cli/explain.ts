/** The command that tells a request's story from the instances' logs. */
import { formatFields } from '../common/log.js';
import type { Command } from './command.js';
import { readLogs, STANDARD_INPUT } from './logfiles.js';
import type { ReadFigures } from './logfiles.js';
import { StoryReader } from './story.js';
import type {
  Ending, InstanceStory, LostServer, Story, StoryLine,
} from './story.js';

/** What a line of each event says, in a few words; other events are printed by their names. */
const MEANINGS: Readonly<Record<string, string>> = {
  answered: 'the answer ended',
  attempt_failed: 'the attempt was lost',
  cancel: 'the attempt was cancelled',
  configuration: 'a configuration came into force',
  configuration_in_force: 'a configuration came into force',
  dispatch: 'sent to a server',
  drop: 'an event of an engine was left out',
  paused: 'the process stood still',
  peer_lost: 'another instance fell silent',
  peer_reached: 'another instance was heard of',
  refuse: 'refused',
  resumed: 'the answer went on',
  retry: 'to be tried elsewhere',
  route: 'a server was chosen',
  server_listed: 'the server\'s entry was read',
  server_reached: 'the server was reached again',
  server_removed: 'the server was taken as gone',
  server_suspected: 'the server was not reached',
  started: 'the instance started',
  stop: 'the instance began to stop',
  store_lost: 'the store was lost',
  store_regained: 'the store answered again',
  stream_ended: 'the stream ended',
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
    case 'refused': {
      const again = ending.retryAfterMs === undefined ? ''
        : `; the caller may come back after ${ending.retryAfterMs} ms`;
      return `refused (${ending.code}, ran: ${ending.ran}): ${ending.reason}${again}`;
    }
    case 'open': return 'no line tells its end: the instance was lost, or the log is cut off';
  }
}

function lineText({
  offsetMs, event, fields, own,
}: StoryLine): string {
  const rest = Object.fromEntries(Object.entries(fields).filter(([name]) => name !== 'request'));
  const sign = offsetMs < 0 ? '-' : '+';
  const offset = `${sign}${Math.abs(offsetMs)} ms`.padStart(OFFSET_WIDTH);
  const meaning = MEANINGS[event] ?? event;
  return `${own ? '  ' : '  | '}${offset}  ${meaning}: ${formatFields(rest)}`;
}

function instanceText({
  instance, startedAt, lines, ending,
}: InstanceStory): string[] {
  return [
    `${instance || 'an instance without a name'}, from ${startedAt} by its clock:`,
    ...lines.map(lineText),
    `  end: ${endingText(ending)}`,
  ];
}

function lostText({ server, by, notBy }: LostServer): string {
  const others = notBy.length === 0 ? ''
    : `; ${notBy.length} other instances did not: ${notBy.join(', ')}`;
  return `server ${server} was lost by ${by.join(', ')}${others}`;
}

function storyText({
  request, instances, lost, notes,
}: Story): string {
  return [
    `request ${request}`,
    ...instances.flatMap(instanceText),
    ...lost.map(lostText),
    ...notes.map((note) => `note: ${note}`),
  ].join('\n');
}

function readText({ lines, unreadable }: ReadFigures): string {
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
    const reader = StoryReader.of(request);
    const named = [...lists.log ?? [], ...files];
    const read = await readLogs(named.length > 0 ? named : [STANDARD_INPUT], input, (line) => (
      reader.take(line)));
    if (read.isErr()) {
      terminal.error(read.error);
      return 1;
    }
    const story = reader.story();
    if (story.instances.length === 0) {
      if (terminal.json) terminal.result({ ...story, read: read.value }, () => '');
      terminal.error(`no line names the request ${request}; ${readText(read.value)}`);
      return 1;
    }
    terminal.result({ ...story, read: read.value }, storyText);
    if (read.value.unreadable > 0) terminal.error(readText(read.value));
    return 0;
  },
};

export const LOG_COMMANDS: readonly Command[] = [explain];
