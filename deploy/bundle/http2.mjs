/** In place of `node:http2` in a sidecar's bundle: no HTTP/2 is spoken, and loading it takes a tenth of the start. */
export const constants = {};
