import type { LeasedJob } from './leasedJob.js'

/**
 * Time to allow for a job against the expected run of one task: its last task
 * may run at a slow endpoint, or be a long one. Without it, jobs started at the
 * last moment were late by a little, each at the price of the next: half of the
 * late ones in a burst by less than a quarter.
 */
const RUN_ALLOWANCE = 1.25

/** When a job must start to be in time. */
export const latestStart = ({ dueAt, expectedMs }: LeasedJob): number => dueAt - RUN_ALLOWANCE * expectedMs

/**
 * Jobs of one service that have tasks to send: those that can still be in time
 * first, then by priority, then by how soon they must start.
 */
export class LeasedQueue {
  private readonly jobs = new Set<LeasedJob>()

  /** Jobs with tasks that wait. */
  get size (): number {
    return this.jobs.size
  }

  [Symbol.iterator] (): Iterator<LeasedJob> {
    return this.jobs.values()
  }

  /** Priority of the job that goes first; undefined if none waits. */
  get firstPriority (): number | undefined {
    let first: number | undefined
    for (const { priority } of this.jobs) if (first === undefined || priority < first) first = priority
    return first
  }

  add (job: LeasedJob): void {
    this.jobs.add(job)
  }

  remove (job: LeasedJob): void {
    this.jobs.delete(job)
  }

  /** Jobs in the order in which they go, at this moment. */
  inOrder (now: number): LeasedJob[] {
    const ranked = [...this.jobs].map((job) => ({ job, latestStart: latestStart(job) }))
    const isLate = (start: number, { mayHaveRun }: LeasedJob): number => mayHaveRun === 0 && start < now ? 1 : 0
    ranked.sort((a, b) =>
      isLate(a.latestStart, a.job) - isLate(b.latestStart, b.job) ||
      a.job.priority - b.job.priority ||
      a.latestStart - b.latestStart)
    return ranked.map(({ job }) => job)
  }

  /** Work that goes before a job of this priority, in milli-cores times ms. */
  workAhead (priority: number, workOf: (job: LeasedJob) => number): number {
    let work = 0
    for (const job of this.jobs) if (job.priority <= priority) work += workOf(job)
    return work
  }
}
