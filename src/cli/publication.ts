/** Prints the result of a configuration change. */
import type { Publication } from '../configuration/publisher.js';
import type { ExitCode } from './command.js';
import type { Terminal } from './terminal.js';

function keptChanges(files: readonly string[]): string {
  return files.length === 0 ? '' : `; kept the changes of others to ${files.join(', ')}`;
}

/** Prints the result of a publication and returns the command's exit code. */
export function reportPublication(terminal: Terminal, publication: Publication): ExitCode {
  if (terminal.json) terminal.line(JSON.stringify(publication, null, 2));
  const print = (text: string) => {
    if (!terminal.json) terminal.line(text);
  };
  switch (publication.kind) {
    case 'accepted':
      terminal.findings(publication.findings);
      print(`accepted as revision ${publication.revision}${keptChanges(publication.taken)}`);
      return 0;
    case 'unchanged':
      print(`nothing to change; revision ${publication.revision} holds it already`);
      return 0;
    case 'conflict':
      publication.conflicts.forEach(({ file, theirs }) => {
        terminal.error(`conflict: ${file} was ${theirs.change} by ${theirs.who} in revision`
          + ` ${theirs.revision} at ${theirs.at}; pull, merge and apply again`);
      });
      return 3;
    case 'invalid':
      terminal.findings(publication.findings);
      return 1;
    case 'empty':
      terminal.error('refused: no file would be left; --allow-empty allows it');
      return 1;
    case 'no_such_file':
      terminal.error(`refused: there is no file ${publication.file}`);
      return 1;
    case 'base_unknown':
      terminal.error(`refused: the history has no revision ${publication.base} any more; the`
        + ` current one is ${publication.current}; pull and merge first`);
      return 3;
    case 'too_large':
      terminal.error(`refused: the folder takes ${publication.bytes} bytes, more than the store`
        + ' holds in one object');
      return 1;
    case 'unavailable':
      terminal.error(`not accepted: ${publication.error.message}`);
      return 4;
    case 'unsettled':
      terminal.error(`not known whether accepted (${publication.error.message}); ask later with`
        + ` shallotshunt outcome ${publication.writeId}`);
      return 4;
  }
}
