/**
 * Which texts the parts of an HTTP/1.1 message can hold (RFC 9110 and RFC 9112). The HTTP library throws on others, and some of
 * those that it takes arrive changed. Texts from outside are checked where they enter.
 */

const HEADER_NAME = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;
const EXACT_HEADER_VALUE = /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;
const ORIGIN_FORM_TARGET = /^\/[\x21-\x7e\x80-\xff]*$/;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Whether a text can be the name of a header. */
export function isHeaderName(text: string): boolean {
  return HEADER_NAME.test(text);
}

/** Whether a text can be the value of a header. Blanks and tabs at its ends are lost on the way. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}

/** Whether a text arrives unchanged as the value of a header: it is not empty and has no blank or tab at its ends. */
export function isExactHeaderValue(text: string): boolean {
  return EXACT_HEADER_VALUE.test(text);
}

/** Whether a text can be the target of a request: a path that begins with a slash, and a query. */
export function isRequestTarget(text: string): boolean {
  return ORIGIN_FORM_TARGET.test(text);
}

/** Whether a number is the status of a final response. */
export function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}
