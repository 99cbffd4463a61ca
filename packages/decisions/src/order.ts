/**
 * The order in which waiting jobs go.
 *
 * Load: more work arrives than the endpoints can do for some seconds. Whatever
 * goes first then decides who is in time; a job that can no longer be in time
 * would take the place of one that can.
 *
 * Bounds: the lowest priority waits as long as higher ones fill the endpoints.
 */
import type { JobView } from './types.js'

/**
 * Time to allow for a job against the expected run of one task: its last task
 * may run at a slow endpoint, or be a long one. Without it, jobs started at the
 * last moment were late by a little, each at the price of the next: half of the
 * late ones in a burst by less than a quarter.
 */
const RUN_ALLOWANCE = 1.25

/** When a job must start to be in time, in ms on the entry's clock. */
export const latestStart = ({ dueAt, expectedMs }: Pick<JobView, 'dueAt' | 'expectedMs'>): number =>
  dueAt - RUN_ALLOWANCE * expectedMs

/** Puts waiting jobs into the order in which they go. */
export type Order = <Job extends JobView>(jobs: Iterable<Job>, now: number) => Job[]

/**
 * Jobs that can still be in time first, or that have begun; then by priority;
 * then by how soon they must start.
 *
 * @param jobs - those that wait
 * @param now - in ms, on the clock of the jobs' times
 * @returns the first one to go first
 */
export const order: Order = (jobs, now) => {
  const ranked = [...jobs].map((job) => {
    const startBy = latestStart(job)
    return { job, startBy, isLate: job.mayHaveRun === 0 && startBy < now ? 1 : 0 }
  })
  ranked.sort((a, b) => a.isLate - b.isLate || a.job.priority - b.job.priority || a.startBy - b.startBy)
  return ranked.map(({ job }) => job)
}
