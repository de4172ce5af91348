import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js';
import { FailureError } from '../schema/failure.js';
import type { Settings } from '../schema/settings.js';

export interface PeerCredentials {
  server: ServerCredentials;
  client: ChannelCredentials;
}

/**
 * Creates the server and client credentials: mutual TLS if the settings contain `tls`, otherwise plain text.
 *
 * @throws FailureError `fileUnreadable` when a file cannot be read, `trustInsufficient` when the TLS key, certificate
 * or authority cannot be used.
 */
export function createPeerCredentials(settings: Settings): PeerCredentials {
  const { tls } = settings;
  if (tls === undefined)
    return { server: ServerCredentials.createInsecure(), client: ChannelCredentials.createInsecure() };
  const [key, certificate, authority] = [tls.keyFile, tls.certificateFile, tls.authorityFile].map(readPem);
  if (key === undefined || certificate === undefined || authority === undefined) {
    throw new FailureError({
      kind: 'trustInsufficient',
      message: 'tls requires a key, a certificate and an authority',
    });
  }
  try {
    const pair = { private_key: key, cert_chain: certificate };
    // Verifies that key and certificate match; grpc-js would report a mismatch only at the first connection.
    createSecureContext({ key, cert: certificate, ca: authority });
    return {
      server: ServerCredentials.createSsl(authority, [pair], true),
      client: ChannelCredentials.createSsl(authority, key, certificate),
    };
  } catch (error) {
    const message = `the key, certificate and authority configured in tls cannot be used: ${String(error)}`;
    throw new FailureError({ kind: 'trustInsufficient', message });
  }
}

function readPem(path: string): Buffer {
  try {
    return readFileSync(path);
  } catch (error) {
    throw new FailureError({ kind: 'fileUnreadable', message: `cannot read ${path}: ${String(error)}`, path });
  }
}
