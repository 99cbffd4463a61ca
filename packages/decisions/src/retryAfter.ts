/**
 * Decides when a refused caller should retry.
 *
 * In a burst over capacity, a caller that retries at once finds the same queue,
 * and costs the entry as much as a caller that can be served.
 */

/** A burst lasts for some seconds, and a second is the shortest delay that the Retry-After header can express. */
const RETRY_AFTER_MS = 1000

/** How long a refused caller should wait before it retries, in ms. */
export type RetryAfter = () => number

/** Returns the same delay for every refusal. */
export const retryAfter: RetryAfter = () => RETRY_AFTER_MS
