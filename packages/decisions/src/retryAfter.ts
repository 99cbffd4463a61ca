/**
 * When a caller that was refused should come again.
 *
 * Load: a burst over capacity; callers that come again at once meet the same
 * queue, and cost an entry as much as those that can be served.
 */

/** A burst lasts for some seconds; a second is the shortest wait that the header can express. */
const RETRY_AFTER_MS = 1000

/** How long a refused caller should wait, in ms. */
export type RetryAfter = () => number

/** The same for all refusals. */
export const retryAfter: RetryAfter = () => RETRY_AFTER_MS
