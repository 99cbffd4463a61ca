import type { Random } from './random.js'

/** Bounds of an exponential backoff, in ms. */
export interface BackoffOptions {
  baseMs: number
  maxMs: number
}

/**
 * Full-jitter exponential backoff.
 *
 * @param options - first and longest delay
 * @param random - source of the jitter
 * @returns a function from the number of failures so far (1 and up) to a delay in ms
 */
export const createBackoff = ({ baseMs, maxMs }: BackoffOptions, random: Random) =>
  (failures: number): number => {
    const ceiling = Math.min(maxMs, baseMs * 2 ** Math.min(failures - 1, 30))
    return ceiling / 2 + random() * ceiling / 2
  }
