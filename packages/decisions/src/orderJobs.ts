/**
 * The order in which waiting jobs go.
 *
 * Load: more work arrives than the endpoints can do for some seconds. Whatever
 * goes first then decides who is in time; a job that can no longer be in time
 * would take the place of one that can.
 *
 * Bounds: without overload the lowest priority waits as long as higher ones fill
 * the endpoints; under overload until it is below its floor.
 */
import { UNKNOWN_LOAD } from './forecast.js'
import type { LoadView } from './forecast.js'
import { effectivePriority } from './shares.js'
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

/** True if a job that has not begun cannot be in time any more. */
export const isLate = (job: Pick<JobView, 'dueAt' | 'expectedMs' | 'mayHaveRun'>, now: number): boolean =>
  job.mayHaveRun === 0 && latestStart(job) < now

/** Puts waiting jobs into the order in which they go. */
export type OrderJobs = <Job extends JobView>(jobs: Iterable<Job>, now: number, load?: LoadView) => Job[]

/**
 * Jobs that can still be in time first, or that have begun; then by priority,
 * queues below their floors like the most urgent one; then by how soon they must
 * start.
 *
 * @param jobs - those that wait
 * @param now - in ms, on the clock of the jobs' times
 * @param load - of their service
 * @returns the first one to go first
 */
export const orderJobs: OrderJobs = (jobs, now, { queues } = UNKNOWN_LOAD) => {
  const priorityOf = effectivePriority(queues)
  const ranked = [...jobs].map((job) =>
    ({ job, startBy: latestStart(job), priority: priorityOf(job.priority), group: isLate(job, now) ? 1 : 0 }))
  ranked.sort((a, b) => a.group - b.group || a.priority - b.priority || a.startBy - b.startBy)
  return ranked.map(({ job }) => job)
}
