/** The command-line tool `shallotshunt`. */
process.stdout.write('usage: shallotshunt COMMAND\n');
