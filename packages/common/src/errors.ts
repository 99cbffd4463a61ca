/**
 * Text of anything thrown, without its stack.
 *
 * @param err - what was caught
 */
export const errorMessage = (err: unknown): string => {
  if (!(err instanceof Error)) return String(err)
  const cause = err.cause === undefined ? '' : ` (${errorMessage(err.cause)})`
  return (err.message || err.name) + cause
}

/**
 * The system error code (`ECONNREFUSED` and the like) of an error or its cause.
 *
 * @param err - what was caught
 */
export const errorCode = (err: unknown): string | undefined => {
  if (typeof err !== 'object' || err === null) return undefined
  if ('code' in err && typeof err.code === 'string') return err.code
  return 'cause' in err ? errorCode(err.cause) : undefined
}
