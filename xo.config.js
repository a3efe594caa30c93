/** Formatter and linter settings; docs/DESIGN.md names the house rules that go before XO's. */
const config = [
	{
		ignores: ['packages/*/dist/**', 'platform/dist/**', 'target/**', 'coverage/**', 'journal/**'],
	},
	{
		rules: {
			// `Left`, `Right`, `Just` of purify-ts are functions with capitals.
			'new-cap': 'off',
			// Control flow by array methods.
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			// Values from outside are checked by zod or by guards where they enter.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		// Tests are arranged by nested `describe`.
		files: ['packages/*/src/__tests__/**', 'platform/src/__tests__/**'],
		rules: {'max-nested-callbacks': 'off'},
	},
	{
		files: ['packages/node/src/run-daemon.ts', 'packages/checks/src/run-tests.ts', 'platform/src/main.ts'],
		rules: {'unicorn/no-process-exit': 'off'},
	},
	{
		// The names on the platform's wire are the platform's.
		files: ['platform/src/**'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
];

export default config;
