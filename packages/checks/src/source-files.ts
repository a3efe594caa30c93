/** The source files of the repository. */
import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

/** One source file. */
export type SourceFile = {
	/** Path from the repository's root, with forward slashes. */
	readonly path: string;
	readonly text: string;
};

/** Root of the repository, seen from the built checks. */
export const repositoryRoot = fileURLToPath(new URL('../../../', import.meta.url));

/** Reads a file of the repository. */
export function readRepositoryFile(path: string): string {
	return readFileSync(`${repositoryRoot}${path}`, 'utf8');
}

/** Lists the files below a folder of the repository, by their paths from the root. */
function listPaths(folder: string): readonly string[] {
	return readdirSync(`${repositoryRoot}${folder}`, {recursive: true, encoding: 'utf8'})
		.map(path => `${folder}/${path.replaceAll('\\', '/')}`);
}

/** Lists the TypeScript files of all packages and of the platform's adapter. */
export function listSourceFiles(): readonly SourceFile[] {
	return ['packages', 'platform']
		.flatMap(folder => listPaths(folder))
		.filter(path => /^(?:packages\/[^\/]+|platform)\/src\/.*\.ts$/v.test(path))
		.toSorted((a, b) => a.localeCompare(b))
		.map(path => ({path, text: readRepositoryFile(path)}));
}
