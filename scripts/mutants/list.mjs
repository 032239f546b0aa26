// The faults that `scripts/mutants.mjs` plants: each is the text to replace in one or more files.
const TRANSACTION = 'src/generation/transaction.ts';
const LOSS = 'src/generation/loss.ts';
const ATTEMPT = 'src/generation/attempt.ts';
const RUN = 'src/generation/run.ts';

export const MUTANTS = [
  {
    name: 'accept a late token of a lost attempt',
    edits: [
      {
        file: TRANSACTION,
        from: 'find(({ number }) => number === event.attempt);',
        to: 'find(({ number }) => number === event.attempt) ?? liveAttempts(state)[0];',
      },
      { file: ATTEMPT, from: 'this.#stream.unsubscribe();', to: '' },
    ],
  },
  {
    name: 'accept a repeated token',
    edits: [{
      file: TRANSACTION,
      from: "if (position < accepted.tokens) return drop(state, 'repeated');",
      to: '',
    }],
  },
  {
    name: 'take a gap',
    edits: [{
      file: TRANSACTION, from: 'if (position > accepted.tokens) {', to: 'if (position < 0) {',
    }],
  },
  {
    name: 'end a short answer as done',
    edits: [{
      file: TRANSACTION,
      from: 'if (event.position !== tokens) {',
      to: 'if (event.position < 0) {',
    }],
  },
  {
    name: 'take the end of a stream for the end of the answer',
    edits: [{
      file: RUN,
      from: "    if (event.kind === 'failed') {",
      to: `    const position = this.#state.accepted.tokens;
    if (event.kind === 'failed' && event.cause === 'reset' && position > 0) {
      this.#receive({ kind: 'finish', attempt, position, reason: 'stop' });
      return;
    }
    if (event.kind === 'failed') {`,
    }],
  },
  {
    name: 'retry a request that may not repeat',
    edits: [{
      file: LOSS,
      from: 'if (mayHaveRun && state.accepted.tokens === 0 && !state.repeatable) {',
      to: 'if (state.attemptsWithoutToken < 0) {',
    }],
  },
  {
    name: 'begin again after an unconfirmed cancel',
    edits: [{
      file: LOSS,
      from: "outcome.kind === 'cancelled' && outcome.made === 0",
      to: "outcome.kind !== 'cancelled' || outcome.made === 0",
    }],
  },
  {
    name: 'start a hedge for a request that may not repeat',
    edits: [{
      file: TRANSACTION,
      from: 'const safeToHedge = state.repeatable || state.accepted.tokens > 0;',
      to: 'const safeToHedge = true;',
    }],
  },
  {
    name: 'say "not run" after a dispatch',
    edits: [{
      file: LOSS,
      from: "return { ...refusal, ran: mayHaveBeenReceived ? 'unknown' : refusal.ran };",
      to: 'return mayHaveBeenReceived ? refusal : refusal;',
    }],
  },
  {
    name: 'resume on another version',
    edits: [
      {
        file: LOSS,
        from: 'const version = accepted.tokens === 0 ? undefined : state.version;',
        to: 'const version = undefined;',
      },
    ],
  },
  {
    name: 'resume without the accepted text',
    edits: [{
      file: RUN,
      from: 'accepted: this.#state.accepted,',
      to: "accepted: { text: '', tokens: this.#state.accepted.tokens },",
    }],
  },
  {
    name: 'never take silence for a loss',
    edits: [{
      file: 'src/engines/detector.ts',
      from: "if (after === 'down') return { state, effects: [{ kind: 'lose' }] };",
      to: "if (after === 'down') return { state, effects: [] };",
    }, {
      file: 'src/engines/watch.ts', from: 'LOST_FACTOR = 4;', to: 'LOST_FACTOR = 1e9;',
    }],
  },
  {
    name: 'give new work to a leaving engine',
    edits: [
      {
        file: 'src/routing/eligibility.ts',
        from: "    case 'leaving': return 'leaving';",
        to: "    case 'leaving': return undefined;",
      },
      {
        file: 'src/routing/eligibility.ts',
        from: "if (leaving.has(server.name)) return 'leaving';",
        to: '',
      },
    ],
  },
  {
    name: 'give new work to a drained engine',
    edits: [{
      file: 'src/routing/eligibility.ts', from: "if (server.drained) return 'drained';", to: '',
    }],
  },
  {
    name: 'take a lower revision',
    edits: [{
      file: 'src/configuration/followstate.ts',
      from: 'if (revision <= knownRevision(state) || revision === state.rejected?.revision)',
      to: 'if (revision === knownRevision(state) || revision === state.rejected?.revision)',
    }, {
      // Following the store drops older versions of its own accord.
      file: 'src/store/versions.ts',
      from: 'if (before && before.version >= version) return [];',
      to: 'if (before && before.version === version) return [];',
    }],
  },
  {
    name: 'never renew a watch that fell silent, nor poll',
    edits: [
      { file: 'src/store/follow.ts', from: 'MAX_WATCH_MS = 20_000;', to: 'MAX_WATCH_MS = 1e8;' },
      { file: 'src/store/follow.ts', from: 'POLL_MS = 60_000;', to: 'POLL_MS = 1e8;' },
    ],
  },
  {
    name: 'take a lost answer of the store for a success',
    edits: [{
      file: 'src/store/settle.ts',
      from: "    ambiguous ||= code === 'ambiguous';",
      to: `    ambiguous ||= code === 'ambiguous';
      if (ambiguous) return { kind: 'applied', object: { name: '', version: 0, value: '' } };`,
    }],
  },
  {
    name: 'take a lost answer of the store for a failure',
    edits: [{
      file: 'src/store/settle.ts',
      from: "if (!ambiguous && code !== 'ambiguous' && code !== 'conflict') {",
      to: "if (!ambiguous && code !== 'conflict') {",
    }],
  },
  {
    name: 'dispatch a keyed request before its claim is settled',
    edits: [{
      file: 'src/entry/gateway.ts',
      from: "if (key === undefined || repeat === 'safe' || options.returning) {",
      to: 'if (key !== repeat) {',
    }],
  },
  {
    name: 'grant a claim that another request holds',
    edits: [{
      file: 'src/claims/shard.ts',
      from: "if (entry.nonce === operation.nonce) return { kind: 'granted' };",
      to: "if (entry.nonce !== '') return { kind: 'granted' };",
    }],
  },
  {
    name: 'trust a stale lease',
    edits: [
      {
        file: 'src/placement/lease.ts',
        from: 'return durationMs * (1 - DRIFT) - elapsedMs(since, at);',
        to: 'return durationMs + Math.min(0, elapsedMs(since, at));',
      },
    ],
  },
  {
    name: 'cut answers at a graceful stop',
    edits: [{
      file: 'src/entry/drain.ts',
      from: "if (this.state === 'finishing' && this.#open === 0) this.#move('done');",
      to: "if (this.state === 'finishing') this.#move('done');",
    }],
  },
  {
    name: 'end a stop at once after a pause',
    edits: [{
      file: 'src/entry/drain.ts',
      from: 'subscribe(() => this.#readLast());',
      to: `subscribe(() => {
      this.#move('finishing');
      this.#settle();
    });`,
    }],
  },
  {
    name: 'tell a returning caller "not run"',
    edits: [{
      file: 'src/entry/gateway.ts', from: 'if (!returning) return refusal;', to: 'return refusal;',
    }],
  },
];
