/**
 * Replaces undici in the sidecar's bundle by the parts that it uses. The package's own index also loads fetch, WebSocket,
 * caches, mocks and proxies, which takes longer than loading all of the sidecar's own code.
 */
import api from '../../node_modules/undici/lib/api/index.js';
import Dispatcher from '../../node_modules/undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

export {default as Agent} from '../../node_modules/undici/lib/dispatcher/agent.js';
export {default as Client} from '../../node_modules/undici/lib/dispatcher/client.js';
export {default as Pool} from '../../node_modules/undici/lib/dispatcher/pool.js';
export {default as buildConnector} from '../../node_modules/undici/lib/core/connect.js';
