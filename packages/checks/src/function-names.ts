/** Finds functions and methods whose name does not begin with a verb of docs/NAMES.md. */
import ts from 'typescript';
import {readRepositoryFile, type SourceFile} from './source-files.js';

/** A name that breaks the rule. */
export type NameFault = {
	readonly path: string;
	readonly name: string;
};

/** Reads the verbs: the first word in code type of each list item. */
export function readVerbs(): ReadonlySet<string> {
	const matches = readRepositoryFile('docs/NAMES.md').matchAll(/^- `(?<verb>[a-z]+)`/gmv);
	return new Set([...matches].map(match => match.groups!.verb!));
}

function getFunctionName(node: ts.Node): string | undefined {
	if ((ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)) && node.name) {
		return node.name.getText();
	}

	const isFunctionVariable = ts.isVariableDeclaration(node)
		&& node.initializer !== undefined
		&& (ts.isArrowFunction(node.initializer) || ts.isFunctionExpression(node.initializer));
	return isFunctionVariable ? node.name.getText() : undefined;
}

function listFunctionNames(node: ts.Node): readonly string[] {
	const names: string[] = [];
	const recordName = (child: ts.Node): void => {
		const name = getFunctionName(child);
		if (name !== undefined) {
			names.push(name);
		}

		child.forEachChild(recordName);
	};

	recordName(node);
	return names;
}

/** Names given by the interfaces of libraries, and of Node's streams and sockets. */
const foreignNames = /^(?:on[A-Z]|subscribe$|unsubscribe$|\[|_(?:read|writev?|final|destroy)$|destroySoon$|resetAndDestroy$)/v;

/** Finds the faults of one file. */
export function findNameFaults({path, text}: SourceFile, verbs: ReadonlySet<string>): readonly NameFault[] {
	const file = ts.createSourceFile(path, text, ts.ScriptTarget.Latest, true);
	return listFunctionNames(file)
		.filter(name => !foreignNames.test(name))
		.filter(name => !verbs.has(/^#?(?<first>[a-z]+)/v.exec(name)?.groups?.first ?? ''))
		.map(name => ({path, name}));
}
