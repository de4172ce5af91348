import { once } from 'node:events';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { openSocket } from '../../src/core/openSocket.js';
import { probeAddress } from '../../src/http/probeAddress.js';
import { isAddress } from '../../src/schema/address.js';
import { heartbeatSchema } from '../../src/schema/nodeMember.js';
import { parseRequestSettings } from '../../src/schema/requestSettings.js';
import { compileSchema } from '../../src/schema/validate.js';
import { dialLink } from '../../src/transport/linkClient.js';
import { buildHeartbeat, buildRequestSettings } from '../fixtures/requests.js';

const usable = ['127.0.0.1:1', '10.128.0.9:8080', '255.255.255.255:65535', '0.0.0.0:9'];
const unusable = [
  ...['', ':', ':1', '127.0.0.1', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:00', '127.0.0.1:01', '127.0.0.1:65536'],
  ...['127.0.0.1:830183018301', '127.0.0.1:-1', '127.0.0.1:+1', '127.0.0.1:1.5', '127.0.0.1:1e3', '127.0.0.1:0x1'],
  ...[
    '127.0.0.1:http',
    '127.0.0.1 :1',
    ' 127.0.0.1:1',
    '127.0.0.1:1 ',
    '127.0.0.1: 1',
    '127.0.0.1:1\n',
    '\t127.0.0.1:1',
  ],
  ...['127.0.0.1:1/', 'http://127.0.0.1:1', '[127.0.0.1:1', '[127.0.0.1]:1', '::1:1', '[::1]:1', '[::1%lo]:1'],
  ...['1.2:1', '1..2:1', '1.2.3:1', '1.2.3.4.5:1', '256.1.1.1:1', '01.2.3.4:1', '2130706433:1', '0x7f.1:1'],
  ...['localhost:1', 'a\0b:1', '１27.0.0.1:1', '127.0.0.1:１', `${'1'.repeat(5000)}:1`],
];

describe('addresses', () => {
  const validator = compileSchema(heartbeatSchema);
  // Guards against an address that passes the schema although no connection can be opened to it.
  it('should be valid in a heartbeat only if a connection can be opened to them', () => {
    expect(usable.filter((address) => !validator.isValid(buildHeartbeat({ address })))).toEqual([]);
    expect(unusable.filter((address) => validator.isValid(buildHeartbeat({ address })))).toEqual([]);
    expect(unusable.filter(isAddress)).toEqual([]);
  });

  // Guards against settings that are accepted and end the process later.
  it('should be refused in settings, except port 0 of a listener and the host name of the store', () => {
    const isAccepted = (change: object): boolean => {
      try {
        parseRequestSettings({ ...buildRequestSettings(), ...change });
        return true;
      } catch {
        return false;
      }
    };
    const accepted = unusable.filter((address) => isAccepted({ linkListen: address }));
    expect(accepted).toEqual(['127.0.0.1:0']);
    expect(isAccepted({ storeAddress: 'store.example:8309' })).toEqual(true);
    expect(
      ['127.0.0.1:65536', 'store example:1', 'store:0'].filter((address) => isAccepted({ storeAddress: address })),
    ).toEqual([]);
  });

  for (const address of ['127.0.0.1:65536', '127.0.0.1:-1', 'a\0b:1', '127.0.0.1:http', '']) {
    // Guards against an address that makes a connection attempt throw, which would end the process.
    it(`should fail with an event, not an exception, in a connection attempt: ${JSON.stringify(address)}`, async () => {
      const socket = openSocket(address);
      const [error] = (await once(socket, 'error')) as [Error];
      expect(error instanceof Error).toEqual(true);
      const reason = await new Promise<string>((resolve) => {
        dialLink(address, { opened: () => undefined, receive: () => undefined, closed: resolve });
      });
      expect(reason.length > 0).toEqual(true);
    });
  }

  it('should count as down in a probe if no process listens there', async () => {
    const isUp = await new Promise<boolean>((resolve) => {
      probeAddress('http://127.0.0.1:1', resolve);
    });
    expect(isUp).toEqual(false);
  });
});
