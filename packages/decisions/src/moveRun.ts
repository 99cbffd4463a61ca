/**
 * Straggler mitigation: decides which runs are stopped to be run elsewhere.
 *
 * An endpoint may become slow or hang while others have free capacity, and a
 * job's answer waits for its last task. A move costs a stop and loses the work
 * done, so a run that merely takes long must not be moved.
 */

/** A run in progress. */
export interface RunView {
  /** Time since its start was sent, in ms. */
  readonly elapsedMs: number
  /** Expected run time of one task of the job, in ms. */
  readonly expectedMs: number
  /** Longest run among the job's tasks that ended, in ms. */
  readonly longestRunMs: number
  /** Usual run time of tasks of its kind, in ms. */
  readonly usualMs: number
  /** Run times at its endpoint, as a multiple of the expected ones. */
  readonly slowness: number
}

/** At a slow endpoint, a run that takes this many times longer than usual is moved. */
const SLOW_ENDPOINT_FACTOR = 2
/** The same at other endpoints, where a long run is more likely to be due to the job itself. */
const NORMAL_ENDPOINT_FACTOR = 4
/** An endpoint counts as slow from this slowness on. */
const SLOW_ENDPOINT_SLOWNESS = 1.5
/** A run is not moved before it exceeds the usual time by this: a move costs a stop and a new start. */
const MIN_EXCESS_MS = 150

/** True if the run should be moved, provided that there is free capacity elsewhere. */
export type MoveRun = (run: RunView) => boolean

/**
 * Moves a run that takes far longer than others of its kind. The expected time
 * alone is no measure, as callers' estimates are often several times too short.
 */
export const moveRun: MoveRun = ({ elapsedMs, expectedMs, longestRunMs, usualMs, slowness }) => {
  const longMs = Math.max(expectedMs, longestRunMs, usualMs)
  const factor = slowness >= SLOW_ENDPOINT_SLOWNESS ? SLOW_ENDPOINT_FACTOR : NORMAL_ENDPOINT_FACTOR
  return elapsedMs >= Math.max(factor * longMs, longMs + MIN_EXCESS_MS)
}
