/** Addresses of the form `host:port`. All that come from outside are checked here. */
import { isIP, isIPv4 } from 'node:net';

const MAX_PORT = 65_535;
/** The last colon separates the port; an IPv6 host is in brackets. */
const HOST_PORT = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/;

export interface HostPort { readonly host: string; readonly port: number }

/** Parses `host:port`, where an IPv6 host is in brackets. */
export function parseHostPort(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(separator + 1)),
  };
}

/** Whether a connection can be opened to a port; 0 stands for none in particular. */
export function isPort(port: number): boolean {
  return port > 0 && port <= MAX_PORT;
}

/** Whether a text is an IPv4 address: four numbers of at most 255. */
export function isIpv4(text: string): boolean {
  return isIPv4(text);
}

/** Whether a text is `host:port` with an IP address of either version. */
export function isHostPort(text: string): boolean {
  const match = HOST_PORT.exec(text);
  return match !== null && isIP(match[1] ?? match[2]!) !== 0 && isPort(Number(match[3]));
}

/** Whether a text is `host:port` with an IPv4 address. */
export function isIpv4Port(text: string): boolean {
  return isHostPort(text) && isIpv4(parseHostPort(text).host);
}
