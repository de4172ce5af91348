import { Type } from '@sinclair/typebox';

/** An octet without leading zeros, which some parsers read as octal. */
const OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])';
const IP_ADDRESS = `${OCTET}(\\.${OCTET}){3}`;
/** 1 to 65535. */
const PORT = '([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])';
/** 0, which stands for a port that the system chooses, to 65535. */
export const LISTEN_PORT_PATTERN = `(0|${PORT})`;
const HOST_NAME = '[a-zA-Z0-9]([a-zA-Z0-9.-]{0,251}[a-zA-Z0-9])?';

const addressPattern = `^${IP_ADDRESS}:${PORT}$`;
const addressExpression = new RegExp(addressPattern);

/** An address to which a connection can be opened: an IPv4 address in dotted decimal form, and a port from 1 to 65535. */
export const createAddressSchema = (purpose: string) =>
  Type.String({ pattern: addressPattern, description: `${purpose} as IP:PORT` });

/** An address to listen on; port 0 lets the system choose one. */
export const createListenSchema = (purpose: string) =>
  Type.String({ pattern: `^${IP_ADDRESS}:${LISTEN_PORT_PATTERN}$`, description: `${purpose} as IP:PORT` });

/** An address to which operators may also give a host name. */
export const createServerSchema = (purpose: string) =>
  Type.String({ pattern: `^(${IP_ADDRESS}|${HOST_NAME}):${PORT}$`, description: `${purpose} as HOST:PORT` });

/**
 * True if a connection can be opened to an address.
 *
 * @example
 * isAddress('127.0.0.1:8301'); // true
 * isAddress('127.0.0.1:65536'); // false
 */
export function isAddress(text: string): boolean {
  return addressExpression.test(text);
}

/** Splits an address of the form `HOST:PORT`. */
export function parseAddress(text: string): { host: string; port: number } {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
