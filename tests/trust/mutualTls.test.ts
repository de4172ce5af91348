import { execFileSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { credentials, status } from '@grpc/grpc-js';
import { expect } from 'earl';
import { request } from 'undici';
import type { StartedProcess } from '../../src/standins/processes.js';
import { buildSettings, runDaemon, startDaemonProcess } from '../fixtures/daemonProcess.js';
import { encodeValue, sendRawFrame } from '../fixtures/rawPeer.js';
import { waitUntil } from '../fixtures/sampleFleet.js';

interface Keys {
  keyFile: string;
  certificateFile: string;
  authorityFile: string;
}

function runOpenssl(folder: string, ...parameters: string[]): void {
  execFileSync('openssl', parameters, { cwd: folder, stdio: 'pipe' });
}

function createAuthority(folder: string, name: string): void {
  const subject = ['-subj', `/CN=${name}`, '-days', '2', '-nodes'];
  runOpenssl(
    folder,
    'req',
    '-x509',
    '-newkey',
    'rsa:2048',
    '-keyout',
    `${name}.key`,
    '-out',
    `${name}.pem`,
    ...subject,
  );
}

function createKeys(folder: string, name: string, authority: string): Keys {
  const keyOptions = ['-newkey', 'rsa:2048', '-nodes', '-keyout', `${name}.key`, '-subj', `/CN=${name}`];
  runOpenssl(folder, 'req', ...keyOptions, '-out', `${name}.csr`);
  writeFileSync(join(folder, `${name}.ext`), 'subjectAltName=IP:127.0.0.1\n');
  const signer = ['-CA', `${authority}.pem`, '-CAkey', `${authority}.key`, '-CAcreateserial', '-days', '2'];
  runOpenssl(folder, 'x509', '-req', '-in', `${name}.csr`, ...signer, '-extfile', `${name}.ext`, '-out', `${name}.pem`);
  const [keyFile, certificateFile, authorityFile] = [`${name}.key`, `${name}.pem`, `${authority}.pem`].map((file) =>
    join(folder, file),
  ) as [string, string, string];
  return { keyFile, certificateFile, authorityFile };
}

const ONE_LINK = 'hemlock_listener_connections{listener="links"} 1';

describe('mutual TLS between nodes', () => {
  let folder: string;
  let trusted: Keys;
  let foreign: Keys;
  let first: StartedProcess;
  let second: StartedProcess;
  const hello = encodeValue({ type: 'pull', dataCenters: [], configuration: false });

  const listMembers = async (node: StartedProcess): Promise<string[]> => {
    const response = await request(`http://${node.addresses['operator'] ?? ''}/status`);
    const { members } = (await response.body.json()) as { members: { id: string }[] };
    return members.map(({ id }) => id).sort();
  };
  const sendWith = (keys: Keys | undefined) => {
    const [authority, key, certificate] =
      keys === undefined ? [trusted.authorityFile] : [trusted.authorityFile, keys.keyFile, keys.certificateFile];
    const read = (path: string | undefined): Buffer | null => (path === undefined ? null : readFileSync(path));
    return sendRawFrame({
      address: first.addresses['peer'] ?? '',
      credentials: credentials.createSsl(read(authority), read(key), read(certificate)),
      bytes: hello,
    });
  };

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'hemlock-keys-'));
    createAuthority(folder, 'fleet');
    createAuthority(folder, 'stranger');
    trusted = createKeys(folder, 'node', 'fleet');
    foreign = createKeys(folder, 'foreign', 'stranger');
    first = await startDaemonProcess(buildSettings({ host: 'h1', tls: trusted }));
    second = await startDaemonProcess(
      buildSettings({ host: 'h2', tls: trusted, seeds: [first.addresses['peer'] ?? ''] }),
    );
  });
  after(async () => {
    await Promise.all([first.stop(), second.stop()]);
    rmSync(folder, { recursive: true, force: true });
  });

  it('should connect nodes whose certificates the fleet authority signed', async () => {
    await waitUntil('both nodes list both members', async () => {
      const lists = await Promise.all([listMembers(first), listMembers(second)]);
      return lists.every((list) => list.join() === 'h1,h2');
    });
  });

  // Guards against links that are closed after some seconds like those of strangers, since TLS hides whose they are.
  it('should count a link over TLS as one of a known node', async () => {
    let counts: string[] = [];
    await waitUntil('a link is counted', async () => {
      const response = await request(`http://${first.addresses['operator'] ?? ''}/metrics`);
      const lines = (await response.body.text()).split('\n');
      counts = lines.filter((line) => line.startsWith('hemlock_listener_connections{'));
      return counts.includes(ONE_LINK);
    }).catch(() => undefined);
    expect(counts).toInclude(ONE_LINK);
  });

  it('should reject a peer without a certificate', async () => {
    expect(await sendWith(undefined)).toEqual(expect.subset({ type: 'ended', code: status.UNAVAILABLE }));
  });

  it('should reject a peer whose certificate was signed by another authority', async () => {
    expect(await sendWith(foreign)).toEqual(expect.subset({ type: 'ended', code: status.UNAVAILABLE }));
  });

  it('should reject plain text on a port that requires TLS', async () => {
    const address = first.addresses['peer'] ?? '';
    const outcome = await sendRawFrame({ address, credentials: credentials.createInsecure(), bytes: hello });
    expect(outcome).toEqual(expect.subset({ type: 'ended', code: status.UNAVAILABLE }));
  });

  it('should not admit a node whose certificate was signed by another authority', async () => {
    const keys = { ...foreign, authorityFile: trusted.authorityFile };
    const intruder = await startDaemonProcess(
      buildSettings({ host: 'h9', tls: keys, seeds: [first.addresses['peer'] ?? ''], logLevel: 'debug' }),
    );
    await waitUntil('the stream of the intruder was rejected', () =>
      intruder.errorLines.some((line) => line.includes('failed')),
    );
    expect(await listMembers(first)).toEqual(['h1', 'h2']);
    await intruder.stop();
  });

  it('should report a key file that does not contain a private key', () => {
    const tls = { ...trusted, keyFile: trusted.authorityFile };
    const { exitCode, lines } = runDaemon(JSON.stringify(buildSettings({ tls })));
    expect(exitCode).toEqual(2);
    expect(lines).toEqual([expect.includes('trustInsufficient: the key, certificate and authority')]);
  });
});
