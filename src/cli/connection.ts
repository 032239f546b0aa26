/** The command-line tool's connection to a daemon's administration API. */
import { request as httpRequest } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { createTRPCClient, httpLink } from '@trpc/client';
import type { HTTPLinkOptions, TRPCClient } from '@trpc/client';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdminRouter } from '../admin/router.js';
import type { Invocation } from './command.js';

const DEADLINE_MS = 20_000;
const HTTP_OK = 200;
const MIN_ERROR_STATUS = 400;

export type Connection = TRPCClient<AdminRouter>;

type Fetch = NonNullable<HTTPLinkOptions<AdminRouter['_def']['_config']['$types']>['fetch']>;

/** Implements tRPC's `fetch` on Node's HTTP client. */
const fetchOverHttp: Fetch = (input, options) => new Promise((resolve, reject) => {
  const req = httpRequest(String(input), {
    method: options?.method ?? 'GET',
    headers: options?.headers as Record<string, string>,
    signal: AbortSignal.timeout(DEADLINE_MS),
  });
  req.on('response', (res) => {
    const status = res.statusCode ?? 0;
    readText(res).then((text) => resolve({
      ok: status >= HTTP_OK && status < MIN_ERROR_STATUS,
      status,
      json: async () => JSON.parse(text) as unknown,
      text: async () => text,
    } as Awaited<ReturnType<Fetch>>), reject);
  });
  req.on('error', reject);
  req.end(options?.body as string | undefined);
});

/** Creates a client of the daemon that the options or the environment name. */
export function connect(
  { values, environment }: Pick<Invocation, 'values' | 'environment'>,
): Result<Connection, string> {
  const address = values.daemon ?? environment.SHALLOTSHUNT_DAEMON;
  const key = values.key ?? environment.SHALLOTSHUNT_KEY;
  if (typeof address !== 'string') return err('name a daemon by --daemon or SHALLOTSHUNT_DAEMON');
  if (typeof key !== 'string') return err('give a key by SHALLOTSHUNT_KEY or --key');
  return ok(createTRPCClient<AdminRouter>({
    links: [httpLink({
      url: `http://${address}`,
      fetch: fetchOverHttp,
      headers: { authorization: `Bearer ${key}` },
    })],
  }));
}
