import type { Clock } from '@hazellift/common'
import type { Job } from '../jobs/job.js'

/**
 * Jobs that another entry has taken over from this one. Their runs are left to the new
 * owner, which collects their results, even if it has not reached the agents yet.
 */
export class MovedJobs {
  /** When each job is forgotten, by job key, on the monotonic clock. Jobs are in the order of their addition. */
  private readonly forgetAt = new Map<string, number>()

  constructor (private readonly clock: Pick<Clock, 'now'>) {}

  /** Remembers a job for as long as its runs may last. */
  add ({ key, leaseMs }: Job): void {
    const now = this.clock.now()
    for (const [other, at] of this.forgetAt) if (at < now) this.forgetAt.delete(other)
    this.forgetAt.set(key, now + leaseMs)
  }

  /** Forgets a job that this entry has taken over in turn. */
  delete (key: string): void {
    this.forgetAt.delete(key)
  }

  /** True if the runs of the job are left to another entry. */
  has (key: string): boolean {
    return this.clock.now() <= (this.forgetAt.get(key) ?? -Infinity)
  }
}
