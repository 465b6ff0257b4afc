/** Parses settings in JSON with comments and validates them against a schema. */
import { findNodeAtLocation, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import type { z } from 'zod';

import type { Outcome } from './outcome.js';
import { fail, ok } from './outcome.js';

/** One error in a settings file: a syntax error or a value that the schema refuses. */
export interface SettingsFault {
  readonly file: string;
  /** Line number, counted from 1. */
  readonly line: number;
  /** Column number, counted from 1. */
  readonly column: number;
  /** Path of the field, with dots between its names; empty for a syntax error. */
  readonly field: string;
  readonly message: string;
  /** Present if the text is not JSON, as that of a file that is not whole. */
  readonly isSyntax?: true;
}

/** A place in a text, counted from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Where the value at `path` stands in a JSON text, or the nearest value that contains it. */
export function positionOfValue(text: string, path: readonly (string | number)[]): TextPosition {
  const tree = parseTree(text, [], { allowTrailingComma: true });
  return positionAt(text, (tree && nearestNode(tree, path))?.offset ?? 0);
}

/** How JSON is read. */
export interface JsonDialect {
  /** Whether comments and trailing commas are allowed. */
  readonly allowsComments: boolean;
}

/** Parses `text` and validates it against `schema`. `file` is used only to describe faults. */
export function parseSettings<S extends z.ZodType>(
  text: string,
  schema: S,
  file: string,
  { allowsComments }: JsonDialect = { allowsComments: true },
): Outcome<z.output<S>, SettingsFault[]> {
  const errors: ParseError[] = [];
  const options = { allowTrailingComma: allowsComments, disallowComments: !allowsComments };
  const tree = parseTree(text, errors, options);
  if (errors.length > 0 || !tree) {
    return fail(
      errors.map((error) => ({
        file,
        ...positionAt(text, error.offset),
        field: '',
        message: printParseErrorCode(error.error),
        isSyntax: true,
      })),
    );
  }
  const checked = schema.safeParse(nodeValue(tree));
  if (checked.success) return ok(checked.data);
  return fail(
    checked.error.issues.map((issue) => {
      const unknownKey = issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
      const path = [
        ...issue.path.map((step) => (typeof step === 'symbol' ? String(step) : step)),
        ...unknownKey,
      ];
      const node = nearestNode(tree, path);
      const position = positionAt(text, node?.offset ?? 0);
      return { file, ...position, field: path.join('.'), message: issue.message };
    }),
  );
}

/** Formats faults for the operator, one per line. */
export function describeFaults(faults: readonly SettingsFault[]): string {
  return faults
    .map((fault) => `${fault.file}:${String(fault.line)}: ${fault.field || '(file)'}: ${fault.message}`)
    .join('\n');
}

type Tree = NonNullable<ReturnType<typeof parseTree>>;

/** The node at `path` or, when it is missing, at the longest existing start of `path`. */
function nearestNode(tree: Tree, path: readonly (string | number)[]): Tree | undefined {
  return path
    .map((_, index) => findNodeAtLocation(tree, path.slice(0, path.length - index)))
    .find((node) => node !== undefined);
}

function nodeValue(node: Tree): unknown {
  if (node.type === 'array') return (node.children ?? []).map(nodeValue);
  if (node.type !== 'object') return node.value as unknown;
  return Object.fromEntries(
    (node.children ?? []).map((property) => [
      String(property.children?.[0]?.value),
      property.children?.[1] ? nodeValue(property.children[1]) : undefined,
    ]),
  );
}

function positionAt(text: string, offset: number): TextPosition {
  const before = text.slice(0, offset).split('\n');
  return { line: before.length, column: (before[before.length - 1]?.length ?? 0) + 1 };
}
