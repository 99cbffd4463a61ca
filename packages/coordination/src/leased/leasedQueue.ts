import { isLate, demandPriority } from '@hazellift/decisions'
import type { LoadView, OrderJobs } from '@hazellift/decisions'
import type { LeasedJob } from './leasedJob.js'

/** The jobs of one service that have tasks waiting to be sent. */
export class LeasedQueue {
  private readonly jobs = new Set<LeasedJob>()

  constructor (private readonly order: OrderJobs) {}

  /** Number of waiting jobs. */
  get size (): number {
    return this.jobs.size
  }

  [Symbol.iterator] (): Iterator<LeasedJob> {
    return this.jobs.values()
  }

  /** Most urgent priority with which a job competes with those of other entries for free capacity; undefined if none waits. */
  demandPriority (now: number, { queues }: LoadView): number | undefined {
    const priorityOf = demandPriority(queues)
    let first: number | undefined
    for (const job of this.jobs) {
      // The floor of a queue does not help its late jobs.
      const priority = isLate(job, now) ? job.priority : priorityOf(job.priority)
      if (first === undefined || priority < first) first = priority
    }
    return first
  }

  add (job: LeasedJob): void {
    this.jobs.add(job)
  }

  remove (job: LeasedJob): void {
    this.jobs.delete(job)
  }

  /** Returns the waiting jobs in the order in which they are to be sent. */
  inOrder (now: number, load?: LoadView): LeasedJob[] {
    return this.order(this.jobs, now, load)
  }
}
