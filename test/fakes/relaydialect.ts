/** Header names for relay tests; the platform's own are tested with its adapter. */
import type { AdvertisedLimit, Dialect, RawHeaders } from '../../src/relay/dialect.js';

const RELAY_HEADERS = /^x-(key|deadline|server|workspace|priority|last|standby|from)$/;

export function headerOf(raw: RawHeaders, name: string): string | undefined {
  const index = raw.findIndex((text, at) => at % 2 === 0 && text.toLowerCase() === name);
  return index < 0 ? undefined : raw[index + 1];
}

function numberOf(raw: RawHeaders, name: string): number | undefined {
  const text = headerOf(raw, name);
  return text === undefined ? undefined : Number(text);
}

function limitOf(raw: RawHeaders): AdvertisedLimit {
  const text = headerOf(raw, 'x-limit');
  if (text === undefined) return { kind: 'none' };
  const perSecond = Number(text);
  return text !== '' && perSecond >= 0 ? { kind: 'rate', perSecond } : { kind: 'unreadable', text };
}

export const testDialect: Dialect = {
  responseFields: new Set([
    'x-id', 'x-signature', 'x-not-run', 'x-server', 'x-limit', 'x-leaving', 'retry-after',
    'x-brittle',
  ]),
  readRequest: (raw) => ({
    id: headerOf(raw, 'x-id'),
    key: headerOf(raw, 'x-key'),
    deadlineMs: numberOf(raw, 'x-deadline'),
    lastEvent: numberOf(raw, 'x-last'),
    resumes: headerOf(raw, 'x-resumes'),
    model: headerOf(raw, 'x-model'),
    promptTokens: numberOf(raw, 'x-prompt') ?? 0,
    outputTokens: numberOf(raw, 'x-output') ?? 0,
    parts: (headerOf(raw, 'x-parts') ?? '').split(',').filter((id) => id !== '')
      .map((id) => ({ id, tokens: 10 })),
  }),
  serverHeaders: (raw, {
    server, deadlineMs, workspace, priority, lastEvent, standby, goOnFrom,
  }) => {
    const relayHeaders: Readonly<Record<string, string | number | undefined>> = {
      'x-deadline': Math.floor(deadlineMs),
      'x-server': server,
      'x-workspace': workspace,
      'x-priority': priority,
      'x-last': lastEvent,
      'x-standby': standby,
      'x-from': goOnFrom && `${goOnFrom.address}/${goOnFrom.run}`,
    };
    return [
      ...raw.flatMap((name, index) => (
        index % 2 === 0 && !RELAY_HEADERS.test(name.toLowerCase()) ? [name, raw[index + 1]!] : [])),
      ...Object.entries(relayHeaders).flatMap(([name, value]) => (
        value === undefined ? [] : [name, String(value)])),
    ];
  },
  readResponse: (status, raw) => ({
    id: headerOf(raw, 'x-id'),
    signature: headerOf(raw, 'x-signature'),
    notRun: status === 421 || headerOf(raw, 'x-not-run') !== undefined,
    server: headerOf(raw, 'x-server'),
    limit: limitOf(raw),
    leaving: headerOf(raw, 'x-leaving') === '1',
    pauseMs: status === 503 && headerOf(raw, 'retry-after') !== undefined
      ? Number(headerOf(raw, 'retry-after')) * 1_000 : undefined,
    brittle: numberOf(raw, 'x-brittle'),
  }),
  retryAfter: (ms) => (ms / 1_000).toFixed(2),
};
