/**
 * Which runs are stopped to run elsewhere.
 *
 * Load: an endpoint turns slow or hangs while others have room. A job's answer
 * waits for its last task. Moving costs a stop and all that was done, so a run
 * that is long by itself must stay.
 */

/** A run in progress. */
export interface RunView {
  /** Time since its start was sent, in ms. */
  readonly elapsedMs: number
  /** Run time to expect of one task of the job, in ms. */
  readonly expectedMs: number
  /** Longest run of the job's tasks that ended, in ms. */
  readonly longestRunMs: number
  /** Usual run time of tasks of its kind, in ms. */
  readonly usualMs: number
  /** Run times at its endpoint against the expected ones; 1 is as expected. */
  readonly slowness: number
}

/** At an endpoint whose other runs are slow, too, a run this many times longer than usual is moved, if another has room. */
const SLOW_ENDPOINT_FACTOR = 2
/** Elsewhere the job itself is likely to be long. */
const NORMAL_ENDPOINT_FACTOR = 4
/** An endpoint this much slower than expected is suspect. */
const SLOW_ENDPOINT_SLOWNESS = 1.5
/** Runs that are only this much longer than expected are not moved: moving costs a stop and a new start. */
const MIN_EXCESS_MS = 150

/** True if the run should go elsewhere, if there is room. */
export type MoveRun = (run: RunView) => boolean

/** Moves runs that take far longer than others of their kind. Callers' guesses are often several times too short. */
export const moveRun: MoveRun = ({ elapsedMs: ranMs, expectedMs, longestRunMs, usualMs, slowness }) => {
  const longMs = Math.max(expectedMs, longestRunMs, usualMs)
  const factor = slowness >= SLOW_ENDPOINT_SLOWNESS ? SLOW_ENDPOINT_FACTOR : NORMAL_ENDPOINT_FACTOR
  return ranMs >= Math.max(factor * longMs, longMs + MIN_EXCESS_MS)
}
