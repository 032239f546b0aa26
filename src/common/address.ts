/** Addresses of the form `host:port`. */

export interface HostPort { readonly host: string; readonly port: number }

/** Splits `host:port`; an IPv6 host stands in brackets. */
export function hostPort(address: string): HostPort {
  const separator = address.lastIndexOf(':');
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(separator + 1)),
  };
}
