// Runs the bundled program with the V8 code cache that the build wrote. If the cache is missing or from another version of
// Node, the program is compiled from source. `--write-cache` loads the program without starting it and writes the cache.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const file = join(__dirname, 'program.cjs');
const cacheFile = join(__dirname, 'program.cache');
const isWritingCache = process.argv[2] === '--write-cache';

/** Reports that the program is compiled from source; the kind `compiledCodeUnused` means that the code cache is not used. */
function reportUnusedCache(message) {
  process.stderr.write(`${JSON.stringify({ kind: 'compiledCodeUnused', message, path: cacheFile })}\n`);
}

function readCache() {
  try {
    return readFileSync(cacheFile);
  } catch (error) {
    reportUnusedCache(String(error));
    return undefined;
  }
}

// The bundle contains only ASCII (`charset` in bundle.js), so it can be read as latin1, without UTF-8 decoding.
const source = `(function (require, module, exports, __filename, __dirname) {${readFileSync(file, 'latin1')}\n})`;
const script = new Script(source, { filename: file, ...(isWritingCache ? {} : { cachedData: readCache() }) });
if (script.cachedDataRejected === true) reportUnusedCache('compiled by another Node version or with other V8 flags');
const program = { exports: {} };
script.runInThisContext()(require, program, program.exports, file, __dirname);
if (isWritingCache) writeFileSync(cacheFile, script.createCachedData());
else program.exports.startNode();
