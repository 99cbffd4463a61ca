/**
 * Whether a job is taken on.
 *
 * Load: a burst over capacity, or capacity that is lost. A caller who can't be
 * served hears so at once and may go elsewhere; a job that waits in vain keeps
 * its caller, and the queue grows.
 */
import { forecastWait, workAhead } from './forecast.js'
import type { LoadView } from './forecast.js'
import type { JobView } from './types.js'

/** What an entry knows when a job arrives. */
export interface AdmitView {
  /** Thousandths of a core of all endpoints of the service. */
  readonly capacityMilli: number
  /** What this entry serves of them. */
  readonly load: LoadView
  /** Jobs that wait at this entry. */
  readonly waiting: Iterable<JobView>
  readonly waitingCount: number
}

/** Whether a job is taken on, and if not, why. */
export type Admission =
  | { type: 'taken' }
  /** No endpoint serves the job. */
  | { type: 'no_capacity' }
  /** More jobs wait than an entry keeps. */
  | { type: 'too_many' }
  /** What goes before it takes so long that it would be given up. */
  | { type: 'too_late', waitMs: number }

/** Decides on a job that has just arrived. */
export type Admit = (job: JobView, view: AdmitView) => Admission

/** Backlog that an entry may take on, whatever its jobs ask for: some megabytes, and a queue that is still sorted in a millisecond. */
export const MAX_WAITING_JOBS = 2000

/**
 * Takes a job on unless nobody serves it, or what goes before it takes so long
 * that it would be given up.
 *
 * @param job - not queued yet
 * @param view - endpoints and queue of its service
 */
export const admit: Admit = (job, { capacityMilli, load, waiting, waitingCount }) => {
  if (capacityMilli === 0) return { type: 'no_capacity' }
  if (waitingCount >= MAX_WAITING_JOBS) return { type: 'too_many' }
  const waitMs = forecastWait(workAhead(waiting, job.priority), job.priority, load)
  return job.arrivedAt + waitMs <= job.shedAt ? { type: 'taken' } : { type: 'too_late', waitMs }
}
