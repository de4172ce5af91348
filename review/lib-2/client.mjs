// A client: one HTTP request, whose whole answer it reads.
/* global Buffer */
import { request as openRequest } from 'node:http';

/** Resolves with the status, the headers and the body; status 0 if the connection ended without a complete answer. */
export function sendRequest({ address, method = 'GET', path, headers = {}, body, agent, timeoutMs = 10_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const fail = (why) => resolve({ status: 0, headers: {}, body: '', why });
    const message = openRequest({ host, port, method, path, headers, agent, timeout: timeoutMs });
    message.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('end', () => {
        if (!response.complete) fail('the answer is not complete');
        else
          resolve({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() });
      });
      response.on('error', (error) => fail(error.message));
    });
    message.on('timeout', () => message.destroy(new Error('no answer in time')));
    message.on('error', (error) => fail(error.message));
    message.end(body);
  });
}
