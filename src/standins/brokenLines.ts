/** Value of the fields in `BROKEN_LINES`. */
export const ODD_VALUE = 'odd-value';

/** Lines, with their line breaks, that make a head invalid (RFC 9112, section 5), by what is wrong with them. */
export const BROKEN_LINES: ReadonlyMap<string, string> = new Map([
  ['a space within a name', `X Odd: ${ODD_VALUE}\r\n`],
  ['a space before the colon', `X-Odd : ${ODD_VALUE}\r\n`],
  ['a tab before the colon', `X-Odd\t: ${ODD_VALUE}\r\n`],
  ['no name', `: ${ODD_VALUE}\r\n`],
  ['no colon', `X-Odd\r\n`],
  ['a space at the start', ` X-Odd: ${ODD_VALUE}\r\n`],
  ['a tab at the start', `\tX-Odd: ${ODD_VALUE}\r\n`],
  ['a folded value', `X-Odd: folded\r\n ${ODD_VALUE}\r\n`],
  ['a bare LF at the start', `\nX-Odd: ${ODD_VALUE}\r\n`],
  ['a bare CR at the start', `\rX-Odd: ${ODD_VALUE}\r\n`],
  ['a bare LF at the end', `X-Odd: ${ODD_VALUE}\n`],
  ['a bare CR at the end', `X-Odd: ${ODD_VALUE}\r`],
  ['a NUL in a name', `X\0Odd: ${ODD_VALUE}\r\n`],
  ['a control byte in a name', `X\x01Odd: ${ODD_VALUE}\r\n`],
  ['a DEL in a name', `X\x7fOdd: ${ODD_VALUE}\r\n`],
  ['a byte beyond ASCII in a name', `X\xe9Odd: ${ODD_VALUE}\r\n`],
  ['a control byte in a value', `X-Odd: ${ODD_VALUE}\x01\r\n`],
  ['a NUL in a value', `X-Odd: ${ODD_VALUE}\0\r\n`],
  ['a space within Content-Length', `Content -Length: 3\r\n`],
  ['a space after Content-Length', `Content-Length : 3\r\n`],
  ['a space after Transfer-Encoding', `Transfer-Encoding : chunked\r\n`],
]);
