/**
 * A client's connection on which a test decides what is sent when, and when it reads. It parses
 * the answers itself, so that it also sees incomplete ones and bytes that belong to none.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

const CRLF = '\r\n';
const NO_BODY: readonly number[] = [204, 304];

/** An answer as far as it was received. */
export interface RawAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly whole: boolean;
  /** When its head arrived, and when it or its connection ended. */
  readonly headAt: number;
  readonly endedAt: number;
}

type Framing =
  | { readonly kind: 'head' }
  | { readonly kind: 'length'; left: number }
  | { readonly kind: 'chunk_size' }
  | { readonly kind: 'chunk'; left: number }
  | { readonly kind: 'trailer' }
  | { readonly kind: 'until_close' };

interface Begun {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly parts: Buffer[];
  readonly headAt: number;
}

const NOTHING: Begun = {
  status: 0, headers: new Map(), parts: [], headAt: Infinity,
};

export class RawConnection {
  readonly #socket: Socket;

  readonly #answers: RawAnswer[] = [];

  readonly #waiting: ((answer: RawAnswer) => void)[] = [];

  #pending: Buffer = Buffer.alloc(0);

  #framing: Framing = { kind: 'head' };

  #begun: Begun | undefined;

  #requests = 0;

  /** Bytes received so far. */
  received = 0;

  /** When the connection closed; Infinity while it is open. */
  closedAt = Infinity;

  /** The code of the error that ended the connection. */
  error: string | undefined;

  private constructor(socket: Socket) {
    this.#socket = socket;
    socket.on('data', (bytes) => this.#read(bytes));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.error = error.code;
    });
    // Without more to come, an answer that ends with the connection is complete.
    socket.on('end', () => {
      if (this.#framing.kind === 'until_close') this.#finish(true);
    });
    socket.on('close', () => this.#onClose());
  }

  /** Rejects if the connection is refused. */
  static open(host: string, port: number): Promise<RawConnection> {
    return new Promise((resolve, reject) => {
      const socket = connect({ host, port, noDelay: true });
      socket.once('error', reject);
      socket.once('connect', () => {
        socket.off('error', reject);
        resolve(new RawConnection(socket));
      });
    });
  }

  get isOpen(): boolean {
    return this.closedAt === Infinity && !this.#socket.readableEnded;
  }

  /** Bytes that were received and belong to no request. */
  get strayBytes(): number {
    return this.#requests === 0 && this.#waiting.length === 0 ? this.#pending.length : 0;
  }

  send(bytes: string | Buffer): void {
    if (!this.#socket.destroyed) this.#socket.write(bytes);
  }

  /** Stops reading, so that the peer's buffers fill. */
  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  /** Pauses after each part that is read. */
  readSlowly(pauseMs: number): void {
    this.#socket.on('data', () => {
      this.#socket.pause();
      setTimeout(() => this.#socket.resume(), pauseMs);
    });
  }

  /** Resolves once the next answer is complete or the connection has ended. */
  answer(): Promise<RawAnswer> {
    this.#requests += 1;
    const promise = new Promise<RawAnswer>((resolve) => {
      this.#waiting.push(resolve);
    });
    if (this.#answers.length > 0) this.#deliver(this.#answers.shift()!);
    else if (this.closedAt < Infinity) this.#finish(false);
    return promise;
  }

  close(): void {
    this.#socket.destroy();
  }

  #deliver(answer: RawAnswer): void {
    const resolve = this.#waiting.shift();
    if (resolve) {
      this.#requests -= 1;
      resolve(answer);
    } else this.#answers.push(answer);
  }

  #finish(whole: boolean): void {
    const { parts, ...head } = this.#begun ?? NOTHING;
    this.#begun = undefined;
    this.#framing = { kind: 'head' };
    const endedAt = Math.min(performance.now(), this.closedAt);
    this.#deliver({
      ...head, body: Buffer.concat(parts), whole, endedAt,
    });
  }

  #onClose(): void {
    this.closedAt = performance.now();
    while (this.#waiting.length > 0) this.#finish(false);
  }

  #read(bytes: Buffer): void {
    this.received += bytes.length;
    this.#pending = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes]);
    while (this.#step());
  }

  /** Cuts off up to `length` bytes. */
  #take(length: number): Buffer {
    const taken = this.#pending.subarray(0, length);
    this.#pending = this.#pending.subarray(taken.length);
    return taken;
  }

  #line(): string | undefined {
    const end = this.#pending.indexOf(CRLF);
    return end < 0 ? undefined : this.#take(end + CRLF.length).toString('latin1').trim();
  }

  /** Reads the next part; false if that needs more bytes. */
  #step(): boolean {
    const framing = this.#framing;
    switch (framing.kind) {
      case 'head': return this.#readHead();
      case 'length':
      case 'chunk': {
        const part = this.#take(framing.left);
        this.#begun!.parts.push(part);
        framing.left -= part.length;
        if (framing.left > 0) return false;
        if (framing.kind === 'length') this.#finish(true);
        else this.#framing = { kind: 'chunk_size' };
        return true;
      }
      case 'chunk_size': {
        const line = this.#line();
        if (line === undefined) return false;
        // The line break that ends the chunk before.
        if (line === '') return true;
        const left = Number.parseInt(line, 16);
        this.#framing = left === 0 ? { kind: 'trailer' } : { kind: 'chunk', left };
        return true;
      }
      case 'trailer': {
        const line = this.#line();
        if (line === undefined) return false;
        if (line === '') this.#finish(true);
        return true;
      }
      case 'until_close':
        this.#begun!.parts.push(this.#take(this.#pending.length));
        return false;
    }
  }

  #readHead(): boolean {
    const end = this.#pending.indexOf(CRLF + CRLF);
    if (end < 0) return false;
    const [first = '', ...lines] = this.#take(end + 2 * CRLF.length).toString('latin1').trim()
      .split(CRLF);
    const headers = new Map(lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const status = Number(first.split(' ')[1]);
    this.#begun = {
      status, headers, parts: [], headAt: performance.now(),
    };
    const length = headers.get('content-length');
    if (headers.get('transfer-encoding') === 'chunked') this.#framing = { kind: 'chunk_size' };
    else if (length === '0' || NO_BODY.includes(status)) this.#finish(true);
    else if (length !== undefined) this.#framing = { kind: 'length', left: Number(length) };
    else this.#framing = { kind: 'until_close' };
    return true;
  }
}
