import { isLate, demandPriority } from '@hazellift/decisions'
import type { LoadView, OrderJobs } from '@hazellift/decisions'
import type { LeasedJob } from './leasedJob.js'

/** Jobs of one service that have tasks to send. */
export class LeasedQueue {
  private readonly jobs = new Set<LeasedJob>()

  constructor (private readonly order: OrderJobs) {}

  /** Jobs with tasks that wait. */
  get size (): number {
    return this.jobs.size
  }

  [Symbol.iterator] (): Iterator<LeasedJob> {
    return this.jobs.values()
  }

  /** The priority with which the first job competes for room with those of other entries; undefined if none waits. */
  demandPriority (now: number, { queues }: LoadView): number | undefined {
    const priorityOf = demandPriority(queues)
    let first: number | undefined
    for (const job of this.jobs) {
      // One that is late has no claim to what is kept for its queue.
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

  /** Jobs in the order in which they go, at this moment. */
  inOrder (now: number, load?: LoadView): LeasedJob[] {
    return this.order(this.jobs, now, load)
  }
}
