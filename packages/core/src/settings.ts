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
  /** Path of the field, with dots between its names; empty for a syntax error. */
  readonly field: string;
  readonly message: string;
}

/** Parses `text` and validates it against `schema`. `file` is used only to describe faults. */
export function parseSettings<S extends z.ZodType>(
  text: string,
  schema: S,
  file: string,
): Outcome<z.output<S>, SettingsFault[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || !tree) {
    return fail(
      errors.map((error) => ({
        file,
        line: lineAt(text, error.offset),
        field: '',
        message: printParseErrorCode(error.error),
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
      return { file, line: lineAt(text, node?.offset ?? 0), field: path.join('.'), message: issue.message };
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

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
