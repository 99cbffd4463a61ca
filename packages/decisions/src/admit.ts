/**
 * Admission control: decides whether an arriving job is accepted.
 *
 * In a burst over capacity, or after a loss of capacity, a caller that cannot be
 * served is refused at once and may go elsewhere. A job that waits in vain
 * delays its caller and makes the queue longer.
 */
import { forecastWait, workAhead } from './forecast.js'
import type { LoadView } from './forecast.js'
import type { JobView } from './types.js'

/** State of a service at an entry when a job arrives. */
export interface AdmitView {
  /** Capacity of all endpoints of the service, in thousandths of a core. */
  readonly capacityMilli: number
  /** Load of this entry. */
  readonly load: LoadView
  /** Jobs that wait at this entry. */
  readonly waiting: Iterable<JobView>
  readonly waitingCount: number
}

/** Whether a job is admitted, and if not, why. */
export type Admission =
  | { type: 'taken' }
  /** No endpoint serves the job. */
  | { type: 'no_capacity' }
  /** `MAX_WAITING_JOBS` are waiting. */
  | { type: 'too_many' }
  /** The work ahead of it takes so long that it would be shed. */
  | { type: 'too_late', waitMs: number }

/** Decides on a job that has just arrived. */
export type Admit = (job: JobView, view: AdmitView) => Admission

/** Bounds the backlog of an entry, whatever its jobs need: some megabytes, and a queue that can be sorted in a millisecond. */
export const MAX_WAITING_JOBS = 2000

/**
 * Admits a job unless no endpoint serves it, too many jobs wait, or the work
 * ahead of it takes so long that it would be shed.
 *
 * @param job - the job, not queued yet
 * @param view - endpoints and queue of its service
 */
export const admit: Admit = (job, { capacityMilli, load, waiting, waitingCount }) => {
  if (capacityMilli === 0) return { type: 'no_capacity' }
  if (waitingCount >= MAX_WAITING_JOBS) return { type: 'too_many' }
  const waitMs = forecastWait(workAhead(waiting, job.priority), job.priority, load)
  return job.arrivedAt + waitMs <= job.shedAt ? { type: 'taken' } : { type: 'too_late', waitMs }
}
