import type { Clock } from '@hazellift/common'

/** What the time since the system's start tells of a suspension. */
export type BootClock = 'none' | 'true' | 'steady'

/**
 * The clock of one process, driven by the world's: the process may stand still, with
 * its steady clock counting the time (frozen) or not (suspended), and its time of day
 * may be set.
 */
export class ProcessClock implements Clock {
  private suspendedMs = 0
  private suspendedAt = -Infinity
  private pausedUntil = -Infinity
  private wallOffsetMs = 0

  /**
   * @param referenceClock - counts all the time
   * @param bootClock - what the time since the system's start tells
   */
  constructor (private readonly referenceClock: Clock, private readonly bootClock: BootClock = 'none') {}

  now = (): number => Math.max(this.suspendedAt, this.referenceClock.now() - this.suspendedMs)
  wallNow = (): number => Math.floor(this.referenceClock.now() + this.wallOffsetMs)
  bootNow = (): number | undefined => this.bootClock === 'none' ? undefined : this.bootClock === 'true' ? this.referenceClock.now() : this.now()

  /** A timer counts steady time. */
  after = (ms: number, fn: () => void): (() => void) => {
    const at = this.now() + ms
    let cancel = (): void => {}
    const check = (): void => {
      const leftMs = Math.max(this.pausedUntil - this.referenceClock.now(), at - this.now())
      if (leftMs > 0) cancel = this.referenceClock.after(leftMs, check)
      else fn()
    }
    cancel = this.referenceClock.after(ms, check)
    return () => cancel()
  }

  sleep = (ms: number): Promise<void> => new Promise((resolve) => { this.after(ms, resolve) })

  /** True while nothing of the process is carried out. */
  get isPaused (): boolean {
    return this.referenceClock.now() < this.pausedUntil
  }

  /** Carries something out, now or once the process goes on. */
  run (fn: () => void): void {
    if (this.isPaused) this.referenceClock.after(this.pausedUntil - this.referenceClock.now(), () => this.run(fn))
    else fn()
  }

  /** What arrives from outside is read once the process goes on. */
  async receive<T> (value: Promise<T>): Promise<T> {
    const result = await value
    if (this.isPaused) await new Promise<void>((resolve) => { this.run(resolve) })
    return result
  }

  /** Stands still; the steady clock does not count it. */
  suspend (ms: number): void {
    this.suspendedAt = this.now()
    this.pausedUntil = Math.max(this.pausedUntil, this.referenceClock.now()) + ms
    this.suspendedMs += ms
  }

  /** Stands still; the steady clock counts it. */
  freeze (ms: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.referenceClock.now() + ms)
  }

  /** Sets the time of day, ahead or back. */
  stepWallClock (ms: number): void {
    this.wallOffsetMs += ms
  }
}
