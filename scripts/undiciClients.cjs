// Exports only the parts of undici that the program uses, with the API methods attached as in undici's main file.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Object.assign(Dispatcher.prototype, require('../node_modules/undici/lib/api/index.js'));
module.exports = {
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
  Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
};
