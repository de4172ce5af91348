// Starts the stand-in log server. Usage: node logMain.js [PORT] [RETENTION_MS]
import { startLogServer } from './logServer.js';

const log = await startLogServer({
  port: Number(process.argv[2] ?? 0),
  ...(process.argv[3] === undefined ? {} : { retentionMs: Number(process.argv[3]) }),
});
process.stdout.write(`${JSON.stringify({ listening: { log: log.url } })}\n`);
process.once('SIGTERM', () => {
  void log.stop().then(() => process.exit(0));
});
