/** Flags shared by several commands. */

/** Address that a stand-in listens on. */
export const listenFlag = {type: 'string', default: '127.0.0.1:0', describe: 'Address to listen on, as host:port'} as const;

/** Flags of commands that call the admin API of a node. */
export const adminFlags = {
	admin: {type: 'string', default: 'http://127.0.0.1:8081', describe: 'Base URL of any node\'s admin API'},
	json: {type: 'boolean', default: false, describe: 'Print JSON instead of a table'},
} as const;

/** Flags that select entries of the audit trail. */
export const logFlags = {
	...adminFlags,
	after: {type: 'number', describe: 'Show releases above this number; without it the last ones'},
	limit: {type: 'number', default: 20, describe: 'Number of releases to read, at most 500'},
	operator: {type: 'string', describe: 'Show only what this operator applied'},
	item: {type: 'string', describe: 'Show only releases that name this service, route, terms or organisation'},
} as const;
