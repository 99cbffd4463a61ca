import type { Clock } from '@hazellift/common'

/**
 * How the time since the system's start behaves on the host of a process: it cannot be
 * read, counts suspensions, or shows none, like the steady clock.
 */
export type BootClock = 'unavailable' | 'counts_suspensions' | 'misses_suspensions'

/**
 * The clock of one simulated process, derived from a clock that counts all time. The
 * process can be paused in two ways: suspended, which its steady clock does not count,
 * or frozen, which it does. The wall clock can be set independently.
 */
export class ProcessClock implements Clock {
  private suspendedMs = 0
  private suspendedAt = -Infinity
  private pausedUntil = -Infinity
  private wallOffsetMs = 0

  /**
   * @param referenceClock - counts all time, shared by all processes of a test
   * @param bootClock - how the time since the system's start behaves
   */
  constructor (private readonly referenceClock: Clock, private readonly bootClock: BootClock = 'unavailable') {}

  now = (): number => Math.max(this.suspendedAt, this.referenceClock.now() - this.suspendedMs)
  wallNow = (): number => Math.floor(this.referenceClock.now() + this.wallOffsetMs)
  bootNow = (): number | undefined => this.bootClock === 'unavailable' ? undefined : this.bootClock === 'counts_suspensions' ? this.referenceClock.now() : this.now()

  /** Timers count steady time, and fire only while the process is not paused. */
  after = (ms: number, fn: () => void): (() => void) => {
    const dueAt = this.now() + ms
    let cancel = (): void => {}
    const check = (): void => {
      const remainingMs = Math.max(this.pausedUntil - this.referenceClock.now(), dueAt - this.now())
      if (remainingMs > 0) cancel = this.referenceClock.after(remainingMs, check)
      else fn()
    }
    cancel = this.referenceClock.after(ms, check)
    return () => cancel()
  }

  sleep = (ms: number): Promise<void> => new Promise((resolve) => { this.after(ms, resolve) })

  /** True while the process is suspended or frozen and executes nothing. */
  get isPaused (): boolean {
    return this.referenceClock.now() < this.pausedUntil
  }

  /** Calls `fn` now, or when the process resumes. */
  run (fn: () => void): void {
    if (this.isPaused) this.referenceClock.after(this.pausedUntil - this.referenceClock.now(), () => this.run(fn))
    else fn()
  }

  /** Resolves to a value from outside the process, which a paused process reads only when it resumes. */
  async receive<T> (value: Promise<T>): Promise<T> {
    const result = await value
    if (this.isPaused) await new Promise<void>((resolve) => { this.run(resolve) })
    return result
  }

  /** Pauses the process; its steady clock does not count the pause. */
  suspend (ms: number): void {
    this.suspendedAt = this.now()
    this.pausedUntil = Math.max(this.pausedUntil, this.referenceClock.now()) + ms
    this.suspendedMs += ms
  }

  /** Pauses the process; its steady clock counts the pause. */
  freeze (ms: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, this.referenceClock.now() + ms)
  }

  /** Sets the wall clock ahead, or back if `ms` is negative. */
  stepWallClock (ms: number): void {
    this.wallOffsetMs += ms
  }
}
