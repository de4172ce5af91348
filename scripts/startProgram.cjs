// Runs the bundled program with the compiled code that the build kept; without it, or with that of another version of
// Node, the program is compiled anew. With `--write-cache` the program is loaded but not started, and its code kept.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const file = join(__dirname, 'program.cjs');
const cacheFile = join(__dirname, 'program.cache');
const isWriting = process.argv[2] === '--write-cache';

function reportCache(message) {
  process.stderr.write(`${JSON.stringify({ kind: 'compiledCodeUnused', message, path: cacheFile })}\n`);
}

function readCache() {
  try {
    return readFileSync(cacheFile);
  } catch (error) {
    reportCache(String(error));
    return undefined;
  }
}

const source = `(function (require, module, exports, __filename, __dirname) {${readFileSync(file, 'latin1')}\n})`;
const script = new Script(source, { filename: file, ...(isWriting ? {} : { cachedData: readCache() }) });
if (script.cachedDataRejected === true) reportCache('it was compiled by another version or with other flags');
const program = { exports: {} };
script.runInThisContext()(require, program, program.exports, file, __dirname);
if (isWriting) writeFileSync(cacheFile, script.createCachedData());
else program.exports.startNode();
