/** Addresses of the form `host:port`. */

/** An IPv4 address, and one with a port; the ranges of their numbers are not checked. */
export const IPV4 = /^\d{1,3}(\.\d{1,3}){3}$/;
export const IPV4_PORT = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/;

export interface HostPort { readonly host: string; readonly port: number }

/** Splits `host:port`; an IPv6 host stands in brackets. */
export function parseHostPort(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(separator + 1)),
  };
}
