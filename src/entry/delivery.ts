/**
 * How far a response has got on its connection. Node reports a response as finished also if its
 * connection was destroyed with part of the response unsent, so whether it was flushed is judged
 * by the connection.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { LogFields } from '../common/log.js';

/** `begun`: its head was written. `ended`: all of it was written, and some of it is unsent. */
export type DeliveryStage = 'pending' | 'begun' | 'ended' | 'flushed';

export class Delivery {
  readonly #res: ServerResponse;

  readonly #socket: Socket;

  /** Bytes written to the connection before this response. */
  readonly #bytesBefore: number;

  #flushed = false;

  private constructor(res: ServerResponse) {
    this.#res = res;
    this.#socket = res.req.socket;
    this.#bytesBefore = this.#socket.bytesWritten;
    // Runs before Node's own listener, which may close the connection.
    res.prependListener('finish', () => {
      this.#flushed = !this.#socket.destroyed;
    });
  }

  /** @param res a response that has not ended */
  static of(res: ServerResponse): Delivery {
    return new Delivery(res);
  }

  get stage(): DeliveryStage {
    if (this.#flushed) return 'flushed';
    if (this.#res.writableEnded) return 'ended';
    return this.#res.headersSent ? 'begun' : 'pending';
  }

  /** 0 until the head is written. */
  get status(): number {
    return this.#res.headersSent ? this.#res.statusCode : 0;
  }

  /** Bytes of the response, its head included, that were written to the connection. */
  get bytes(): number {
    return this.#socket.bytesWritten - this.#bytesBefore;
  }

  /** Bytes of them that the operating system has not accepted yet. */
  get unsentBytes(): number {
    return this.#res.writableLength;
  }

  get logFields(): LogFields {
    return { status: this.status || undefined, bytes: this.bytes, unsent_bytes: this.unsentBytes };
  }
}
