import type { LeasedJobEnd } from './leasedJob.js'

/** Message of the end of a job that all its callers have left. */
export const CALLER_GONE_MESSAGE = 'the caller has gone'

/** A caller's wait for a job. */
export interface Attachment {
  /** Resolves when the job ends. */
  end: Promise<LeasedJobEnd>
  /** To be called when the caller stops waiting. The job is cancelled when no caller remains. */
  leave: () => void
}

/** Callers that wait for one job. */
export class Callers {
  private count = 0

  /**
   * @param end - resolves when the job ends
   * @param onAbandoned - called when the last caller has left
   */
  constructor (private readonly end: Promise<LeasedJobEnd>, private readonly onAbandoned: () => void) {}

  /** Adds a caller. */
  attach (): Attachment {
    this.count++
    let hasLeft = false
    return {
      end: this.end,
      leave: () => {
        if (hasLeft) return
        hasLeft = true
        this.count--
        if (this.count === 0) this.onAbandoned()
      }
    }
  }
}
