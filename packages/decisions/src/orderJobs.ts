/**
 * Decides the order in which waiting jobs are started.
 *
 * When more work arrives than the endpoints can do for some seconds, the order
 * decides which jobs are in time. A job that can no longer be in time would take
 * capacity from one that can.
 *
 * Without overload, the lowest priority may wait as long as higher ones fill the
 * endpoints; under overload it waits until its queue is below its floor.
 */
import { UNKNOWN_LOAD } from './forecast.js'
import type { LoadView } from './forecast.js'
import { effectivePriority } from './shares.js'
import type { JobView } from './types.js'

/**
 * Multiple of the expected run of one task that is allowed for a job, as its last
 * task may be long or run at a slow endpoint. Without the allowance, jobs that
 * start at the last moment end a little late, each at the cost of the next one:
 * half of the late jobs of a burst are late by less than a quarter.
 */
const RUN_ALLOWANCE = 1.25

/** When a job must start to be in time, in ms on the entry's clock. */
export const latestStart = ({ dueAt, expectedMs }: Pick<JobView, 'dueAt' | 'expectedMs'>): number =>
  dueAt - RUN_ALLOWANCE * expectedMs

/** True if a job that has not begun can no longer be in time. */
export const isLate = (job: Pick<JobView, 'dueAt' | 'expectedMs' | 'mayHaveRun'>, now: number): boolean =>
  job.mayHaveRun === 0 && latestStart(job) < now

/** Sorts waiting jobs into the order in which they are started. */
export type OrderJobs = <Job extends JobView>(jobs: Iterable<Job>, now: number, load?: LoadView) => Job[]

/**
 * Puts jobs that have begun or can still be in time before late ones; then sorts
 * by priority, where a queue below its floor counts like the most urgent one; then
 * by latest start.
 *
 * @param jobs - the jobs that wait
 * @param now - in ms, on the clock of the jobs' times
 * @param load - load of their service
 * @returns the jobs, next one first
 */
export const orderJobs: OrderJobs = (jobs, now, { queues } = UNKNOWN_LOAD) => {
  const priorityOf = effectivePriority(queues)
  const ranked = [...jobs].map((job) =>
    ({ job, startBy: latestStart(job), priority: priorityOf(job.priority), lateness: isLate(job, now) ? 1 : 0 }))
  ranked.sort((a, b) => a.lateness - b.lateness || a.priority - b.priority || a.startBy - b.startBy)
  return ranked.map(({ job }) => job)
}
