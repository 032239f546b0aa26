/**
 * Checks of the fields that every message between instances carries, written by hand: a walk of the
 * schema takes most of the time in which a message is read. Each accepts exactly what the schema in
 * `peermessage.ts` accepts; a message that fails one is read again by the schema, which says what
 * is wrong and keeps the rest. A field without a check here is read by its schema.
 */
import { isIpv4 } from '../common/address.js';
import { PACE_KINDS } from '../pace/observation.js';
import { VERSION_LIMIT } from '../store/epoch.js';
import { OLDEST_PROTOCOL } from './protocol.js';
import { isServerId } from './serverentry.js';

type Check = (value: unknown) => boolean;

const isText: Check = (value) => typeof value === 'string';
const isFlag: Check = (value) => typeof value === 'boolean';
const isAddress: Check = (value) => typeof value === 'string' && isIpv4(value);
const isServer: Check = (value) => typeof value === 'string' && isServerId(value);

/** Up to the largest that can still be counted on by one. */
function isCount(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}

function isPositive(value: unknown): boolean {
  return isCount(value) && value !== 0;
}

function nullable(check: Check): Check {
  return (value) => value === null || check(value);
}

function listOf(check: Check): Check {
  return (value) => Array.isArray(value) && value.every(check);
}

/** A list that begins with these; a later build may add values. */
function beginsWith(...checks: readonly Check[]): Check {
  return (value) => Array.isArray(value) && value.length >= checks.length
    && checks.every((check, index) => check(value[index]));
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isReport(value: unknown): boolean {
  if (value === undefined) return true;
  if (!isObject(value)) return false;
  const { newestChange, ageMs } = value;
  return Number.isSafeInteger(newestChange) && (newestChange as number) >= 0
    && (newestChange as number) < VERSION_LIMIT && isCount(ageMs);
}

const isPaceKind: Check = (value) => PACE_KINDS.some((kind) => kind === value);
const isLoad = beginsWith(isCount, isCount, isCount, isCount);
const isProcess = beginsWith(isText, isCount);
const areAnswers = listOf(beginsWith(isText, nullable(isCount)));

export const CHECKS: Readonly<Record<string, Check>> = {
  ip: isAddress,
  protocol: (value) => Number.isSafeInteger(value) && (value as number) >= OLDEST_PROTOCOL,
  configuration: (value) => typeof value === 'number' && Number.isFinite(value),
  copies: (value) => isObject(value) && isReport(value.configuration) && isReport(value.servers),
  loads: (value) => isObject(value) && Object.values(value).every(isLoad),
  gone: listOf(isProcess),
  suspect: listOf(isProcess),
  restarts: listOf(isProcess),
  successors: listOf(beginsWith(isServer, isServer)),
  successions: listOf(beginsWith(isServer, isServer, isCount)),
  peers: listOf(isAddress),
  crashes: listOf(beginsWith(isText, isCount, isFlag, areAnswers, listOf(isText))),
  crashRequests: listOf(beginsWith(nullable(isCount), areAnswers)),
  instances: isCount,
  limits: listOf(beginsWith(isText, isCount, nullable(isCount), isCount, isFlag)),
  unreached: listOf(isText),
  origins: listOf(beginsWith(isText, nullable(isText))),
  uses: listOf(beginsWith(isText, isText, isCount)),
  sought: listOf(isText),
  ages: listOf(isCount),
  zone: isText,
  state: beginsWith(isCount, isCount, isCount),
  ranks: listOf(beginsWith(isText, isCount, isCount, isCount, isCount, isCount, isCount)),
  paces: listOf(beginsWith(isText, isCount, isPositive, isCount, isCount, isPaceKind, isCount)),
  rollouts: (value) => Array.isArray(value),
  overload: (value) => isCount(value) && (value as number) <= 1,
};

export { isObject };
