/**
 * Load shedding: decides when a waiting job that cannot be done in time is refused.
 *
 * In a burst over capacity, keeping such jobs until their answer would be of no
 * use delays the reply to their callers, and takes capacity from jobs that can
 * still be in time.
 */
import type { JobView } from './types.js'

/**
 * A waiting job is refused once its answer could only come after this many times
 * its objective. With 3 times, 1% to 4% fewer answers, by kind of job, are in
 * time on a day over capacity.
 */
const SHED_OBJECTIVE_FACTOR = 1.5
/** A waiting job is refused after this share of its deadline: its caller can still go elsewhere, or retry in time. */
const SHED_DEADLINE_SHARE = 0.45

/** Times of a job that determine when it is shed, in ms. */
export interface JobTimes {
  arrivedAt: number
  /** Requested response time. */
  objectiveMs: number
  /** Expected run time of one task. */
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
 * @param job - a job that waits
 * @param now - in ms, on the clock of the job's times
 * @param waitMs - forecast of how much longer it will wait
 */
export type Shed = (job: JobView, now: number, waitMs: number) => boolean

/**
 * Refuses a job of which nothing has been started as soon as the forecast says
 * that it will not start in time. A job that has begun runs on until it ends or
 * reaches its deadline.
 */
export const shed: Shed = (job, now, waitMs) => job.mayHaveRun === 0 && now + waitMs > job.shedAt
