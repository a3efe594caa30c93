/** Formats tables for terminals. */

const columnGap = '  ';

/** Formats rows under a header row, each column as wide as its widest cell. */
export function formatTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [head, ...rows];
	const widths = head.map((_, column) => lines.reduce((width, cells) => Math.max(width, cells[column]?.length ?? 0), 0));
	return lines
		.map(cells => cells.map((cell, column) => cell.padEnd(widths[column]!)).join(columnGap).trimEnd())
		.join('\n');
}
