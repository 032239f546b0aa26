/** Addresses of the form `host:port`. */

/** Match an IPv4 address without and with a port, without checking the ranges of the numbers. */
export const IPV4 = /^\d{1,3}(\.\d{1,3}){3}$/;
export const IPV4_PORT = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

export interface HostPort { readonly host: string; readonly port: number }

/** Parses `host:port`, where an IPv6 host is in brackets. */
export function parseHostPort(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(separator + 1)),
  };
}
