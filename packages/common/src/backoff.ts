import type { Random } from './random.js'

/** First and longest delay of an exponential backoff, in ms. */
export interface BackoffOptions {
  baseMs: number
  maxMs: number
}

/**
 * Exponential backoff with equal jitter: each delay lies between half of the
 * exponential delay and the whole of it.
 *
 * @param options - first and longest delay before jitter
 * @param random - source of the jitter
 * @returns a function from the number of failures so far (at least 1) to a delay in ms
 */
export const createBackoff = ({ baseMs, maxMs }: BackoffOptions, random: Random) =>
  (failures: number): number => {
    const ceiling = Math.min(maxMs, baseMs * 2 ** Math.min(failures - 1, 30))
    return ceiling / 2 + random() * ceiling / 2
  }
