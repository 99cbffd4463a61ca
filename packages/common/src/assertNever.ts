/**
 * Makes a `switch` over a tagged union exhaustive at compile time.
 *
 * @param value - what no case took
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}
