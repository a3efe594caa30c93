/** Replaces `node:http2` in the sidecar's bundle: HTTP/2 isn't used, and loading the module takes a tenth of the startup time. */
export const constants = {};
