/**
 * Makes a `switch` over a tagged union exhaustive at compile time.
 *
 * @param value - the value that no case matched
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}
