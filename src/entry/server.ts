/** The callers' HTTP server: reads requests, asks the gateway, and writes answers. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Observable } from 'rxjs';
import type { Random } from '../common/random.js';
import { bodyOf, retryAfterSeconds, statusOf } from '../common/refusal.js';
import type { Refusal, RefusalCode } from '../common/refusal.js';
import type { AnswerEvent } from '../generation/request.js';
import {
  chunkJson, parseBody, requestOf, wholeJson,
} from './completion.js';
import type { AnswerHead, Form } from './completion.js';
import type { Gateway } from './gateway.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
const REQUEST_TIMEOUT_MS = 30_000;
const HEADERS_TIMEOUT_MS = 10_000;
const MAX_SEED = 0x7fff_ffff;

function refusal(code: RefusalCode, message: string): Refusal {
  return { code, message, ran: 'no' };
}

function sendRefusal(res: ServerResponse, refused: Refusal): void {
  const retryAfter = retryAfterSeconds(refused);
  res.writeHead(statusOf(refused), {
    'content-type': 'application/json',
    ...(retryAfter === undefined ? {} : { 'retry-after': String(retryAfter) }),
  });
  res.end(bodyOf(refused));
}

async function readBody(req: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // eslint-disable-next-line no-restricted-syntax -- a stream is read piece by piece
  for await (const chunk of req) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function bearer(req: IncomingMessage): string | undefined {
  return /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1];
}

function sendStream(res: ServerResponse, head: AnswerHead, answer: Observable<AnswerEvent>): void {
  const write = (position: number, json: string) => {
    if (!res.headersSent) res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write(`id: ${head.id}.${position}\ndata: ${json}\n\n`);
  };
  const subscription = answer.subscribe((event) => {
    switch (event.kind) {
      case 'token':
        write(event.position, chunkJson(head, event.text, null));
        break;
      case 'finish':
        write(event.tokens, chunkJson(head, '', event.reason));
        res.end('data: [DONE]\n\n');
        break;
      case 'refusal':
        if (!res.headersSent) sendRefusal(res, event.refusal);
        else res.end(`event: error\ndata: ${bodyOf(event.refusal)}\n\n`);
        break;
    }
  });
  res.on('close', () => subscription.unsubscribe());
}

function sendWhole(res: ServerResponse, head: AnswerHead, answer: Observable<AnswerEvent>): void {
  let text = '';
  const subscription = answer.subscribe((event) => {
    switch (event.kind) {
      case 'token':
        text += event.text;
        break;
      case 'finish':
        res.writeHead(200, { 'content-type': 'application/json' });
        res.end(wholeJson(head, text, event.reason, event.tokens));
        break;
      case 'refusal':
        sendRefusal(res, event.refusal);
        break;
    }
  });
  res.on('close', () => subscription.unsubscribe());
}

export class EntryServer {
  readonly #gateway: Gateway;

  readonly #random: Random;

  private constructor(gateway: Gateway, random: Random) {
    this.#gateway = gateway;
    this.#random = random;
  }

  /** A server for callers; the daemon listens on it and closes it. */
  static of(gateway: Gateway, random: Random): Server {
    const entry = new EntryServer(gateway, random);
    return createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      noDelay: true,
    }, (req, res) => {
      entry.#handle(req, res).catch((error: unknown) => {
        if (res.headersSent) res.destroy();
        else sendRefusal(res, refusal('bad_request', String(error)));
      });
    });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { pathname } = new URL(req.url ?? '/', 'http://instance');
    switch (pathname) {
      case '/v1/completions': return this.#generate('completion', req, res);
      case '/v1/chat/completions': return this.#generate('chat', req, res);
      case '/healthz':
        res.writeHead(200).end('ok\n');
        return undefined;
      default:
        sendRefusal(res, refusal('not_found', `no such path: ${pathname}`));
    }
  }

  async #generate(form: Form, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const workspace = this.#gateway.workspace(bearer(req) ?? '');
    if (!workspace) return sendRefusal(res, refusal('unauthorized', 'unknown workspace key'));
    const text = await readBody(req);
    if (text === undefined) return sendRefusal(res, refusal('too_large', 'the body is too large'));
    const parsed = parseBody(form, text);
    if (parsed.isErr()) return sendRefusal(res, parsed.error);
    const { body, stream } = parsed.value;
    const model = this.#gateway.configuration.models[body.model];
    if (!model) return sendRefusal(res, refusal('not_found', `no such model: ${body.model}`));
    const id = this.#random.identifier();
    const key = req.headers['idempotency-key'];
    const answer = this.#gateway.generate(requestOf(body, {
      id,
      seed: this.#random.integer(0, MAX_SEED),
      workspace,
      model,
      idempotencyKey: typeof key === 'string' ? key : undefined,
    }));
    const send = stream ? sendStream : sendWhole;
    send(res, { form, id, model: model.name }, answer);
  }
}
