/** The page that metrics are read from. */
import type { ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** Answers with the metrics as text, or with why they can't be told. */
export function sendMetrics(registry: Registry, res: ServerResponse): void {
  registry.metrics().then((text) => {
    res.writeHead(200, { 'content-type': registry.contentType }).end(text);
  }, (error: unknown) => res.writeHead(500).end(String(error)));
}
