/** The page that Prometheus scrapes. */
import type { ServerResponse } from 'node:http';
import type { Registry } from 'prom-client';

/** Sends the metrics as text, or the error that prevented collecting them. */
export function sendMetrics(registry: Registry, res: ServerResponse): void {
  registry.metrics().then((text) => {
    res.writeHead(200, { 'content-type': registry.contentType }).end(text);
  }, (error: unknown) => res.writeHead(500).end(String(error)));
}
