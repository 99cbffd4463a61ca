/**
 * Limits tasks a second. A job is admitted while the bucket is not in debt and
 * then taken from it whole, so that a job larger than the rate can pass.
 */
export class TokenBucket {
  private tokens: number
  private updatedAt: number

  constructor (private rate: number, private readonly now: () => number) {
    this.tokens = rate
    this.updatedAt = now()
  }

  /** Changes the rate, in tasks a second; 0 is no limit. */
  setRate (rate: number): void {
    this.refill()
    this.rate = rate
  }

  /** Ms until a job may be admitted, 0 if it may now. */
  waitMs (): number {
    if (this.rate === 0) return 0
    this.refill()
    return this.tokens > 0 ? 0 : Math.ceil((-this.tokens / this.rate) * 1000) + 1
  }

  /** Takes the tasks of an admitted job. */
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
