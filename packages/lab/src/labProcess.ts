import type { Clock } from '@hazellift/common'

/** One process of the system: what it does takes its share of a processor, and stops with it. */
export class LabProcess {
  isUp = true
  private frozenUntil = 0
  private busyUntil = 0

  /**
   * @param world - the world's clock
   * @param cores - its share of a core
   */
  constructor (private readonly world: Clock, private readonly cores: number) {}

  /** The clock that the process's code sees: its timers wait while it stands still, and end with it. */
  readonly clock: Clock = {
    now: () => this.world.now(),
    wallNow: () => this.world.wallNow(),
    after: (ms, fn) => this.world.after(ms, () => this.run(fn)),
    sleep: (ms) => new Promise((resolve) => { this.clock.after(ms, resolve) })
  }

  /** Runs something now, or once the process goes on. */
  run (fn: () => void): void {
    if (!this.isUp) return
    const waitMs = this.frozenUntil - this.world.now()
    if (waitMs > 0) this.world.after(waitMs, () => this.run(fn))
    else fn()
  }

  /**
   * Runs something after the work that is ahead of it.
   *
   * @param costMs - processor time of a whole core
   */
  work (costMs: number, fn: () => void): void {
    const now = this.world.now()
    this.busyUntil = Math.max(now, this.busyUntil, this.frozenUntil) + costMs / this.cores
    this.world.after(this.busyUntil - now, () => this.run(fn))
  }

  /** The process stands still. */
  freeze (ms: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.world.now() + ms)
  }

  kill (): void {
    this.isUp = false
  }
}
