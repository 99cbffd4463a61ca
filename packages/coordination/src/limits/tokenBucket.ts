/**
 * Limits the rate of tasks. A job is admitted while the bucket holds any tokens,
 * and then takes one token for each of its tasks, even if the balance becomes
 * negative: otherwise a job with more tasks than the bucket holds could never
 * be admitted.
 */
export class TokenBucket {
  private tokens: number
  private updatedAt: number

  /**
   * @param rate - tasks a second, and the size of the bucket; 0 for no limit
   * @param now - monotonic time in ms
   */
  constructor (private rate: number, private readonly now: () => number) {
    this.tokens = rate
    this.updatedAt = now()
  }

  /** Changes the rate, in tasks a second; 0 for no limit. */
  setRate (rate: number): void {
    this.refill()
    this.rate = rate
  }

  /** Time until a job may be admitted, in ms; 0 if it may be admitted now. */
  waitMs (): number {
    if (this.rate === 0) return 0
    this.refill()
    return this.tokens > 0 ? 0 : Math.ceil((-this.tokens / this.rate) * 1000) + 1
  }

  /** Takes a token for each task of an admitted job. */
  take (tasks: number): void {
    this.refill()
    this.tokens -= tasks
  }

  private refill (): void {
    const now = this.now()
    this.tokens = Math.min(this.rate, this.tokens + (now - this.updatedAt) / 1000 * this.rate)
    this.updatedAt = now
  }
}
