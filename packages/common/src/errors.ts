/**
 * Returns the message of a thrown value and its causes, without a stack trace.
 *
 * @param err - the caught value
 */
export const errorMessage = (err: unknown): string => {
  if (!(err instanceof Error)) return String(err)
  const cause = err.cause === undefined ? '' : ` (${errorMessage(err.cause)})`
  return (err.message || err.name) + cause
}

/**
 * Returns the error code (such as `ECONNREFUSED`) of an error or of its nearest cause that has one.
 *
 * @param err - the caught value
 * @returns undefined if there is no code
 */
export const errorCode = (err: unknown): string | undefined => {
  if (typeof err !== 'object' || err === null) return undefined
  if ('code' in err && typeof err.code === 'string') return err.code
  return 'cause' in err ? errorCode(err.cause) : undefined
}
