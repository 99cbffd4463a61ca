import type { Order } from '@hazellift/decisions'
import type { LeasedJob } from './leasedJob.js'

/** Jobs of one service that have tasks to send. */
export class LeasedQueue {
  private readonly jobs = new Set<LeasedJob>()

  constructor (private readonly order: Order) {}

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
    return this.order(this.jobs, now)
  }
}
