/** Hashing: fast non-cryptographic hashes for placement and caches, SHA-256 and HMAC for keys. */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto';
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** 32-bit xxHash of `text`, an unsigned integer. */
export function hash32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/** 64-bit xxHash of `text` in hexadecimal. */
export function hash64(text: string): string {
  return hasher.h64ToString(text);
}

/** SHA-256 of `text` in hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** HMAC-SHA-256 of `text` in base64url. */
export function sign(text: string, key: string): string {
  return createHmac('sha256', key).update(text).digest('base64url');
}

/** Compares two secrets in constant time, to prevent timing attacks. */
export function equalSecrets(left: string, right: string): boolean {
  return timingSafeEqual(Buffer.from(sha256(left)), Buffer.from(sha256(right)));
}

/**
 * Orders the candidates by rendezvous hashing for `key`: processes with the same candidates compute
 * the same order, and removing a candidate reassigns only the keys for which it was first.
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((name) => ({ name, score: hash32(`${name}\n${key}`) }))
    .sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1))
    .map((candidate) => candidate.name);
}
