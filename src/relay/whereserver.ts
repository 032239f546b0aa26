/** Serves the metrics port: metrics, and at `/where` where a request would go now. */
import type { RequestListener } from 'node:http';
import { z } from 'zod';
import { WHERE_QUERY } from './where.js';
import type { WhereAnswer, WhereQuery } from './where.js';

const PATH = '/where';

/** @param otherwise handles all other paths, as scrapers may ask for any */
export function whereListener(
  where: (query: WhereQuery) => WhereAnswer | undefined,
  otherwise: RequestListener,
): RequestListener {
  return (req, res) => {
    const [path, parameters] = (req.url ?? '').split('?', 2);
    if (path !== PATH) {
      otherwise(req, res);
      return;
    }
    const send = (status: number, body: unknown) => (
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)));
    const query = WHERE_QUERY.safeParse(Object.fromEntries(new URLSearchParams(parameters)));
    if (!query.success) {
      send(400, { error: z.prettifyError(query.error) });
      return;
    }
    const answer = where(query.data);
    if (answer) send(200, answer);
    else send(404, { error: `no configuration is known, or none with route ${query.data.route}` });
  };
}
