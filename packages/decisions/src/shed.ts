/**
 * When a job that found no room is given up.
 *
 * Load: a burst over capacity. Holding on to such jobs to the last moment at
 * which they are of any use delays the answer of their callers, and takes room
 * from jobs that can be in time.
 */
import type { JobView } from './types.js'

/**
 * A job that found no room is refused when its answer could only come after this
 * many times the objective: 1% to 4% more answers in time, by kind of job, than
 * with three times, on a day over capacity (1.2, 1.5, 2 and 3 times were played).
 */
const SHED_OBJECTIVE_FACTOR = 1.5
/** The same after this part of the time that the caller waits: it can still go elsewhere, or come again in time. */
const SHED_DEADLINE_SHARE = 0.45

/** What the time of giving up rests on, in ms. */
export interface JobTimes {
  arrivedAt: number
  /** Response time asked for. */
  objectiveMs: number
  /** Run time to expect of one task. */
  expectedMs: number
  /** How long the caller waits. */
  deadlineMs: number
}

/** Until when a job may wait for its first start, in ms on the clock of `arrivedAt`. */
export const shedAt = ({ arrivedAt, objectiveMs, expectedMs, deadlineMs }: JobTimes): number =>
  arrivedAt + Math.min(SHED_OBJECTIVE_FACTOR * objectiveMs - expectedMs, SHED_DEADLINE_SHARE * deadlineMs)

/**
 * True if the job is to be refused now.
 *
 * @param job - one that waits
 * @param now - in ms, on the clock of its times
 * @param waitMs - how long it will still wait, as forecast
 */
export type Shed = (job: JobView, now: number, waitMs: number) => boolean

/**
 * Refuses what has not begun and will not begin in time: as soon as the forecast
 * says so, not when the time is over. What has begun is finished, or ends at its
 * deadline.
 */
export const shed: Shed = (job, now, waitMs) => job.mayHaveRun === 0 && now + waitMs > job.shedAt
