import type { Clock } from '@hazellift/common'

const BITS_PER_BYTE = 8
/** Bits that a link of 1 Mbit/s carries in 1 ms. */
const BITS_PER_MS_OF_MEGABIT = 1000

/** A simulated process with limited CPU and bandwidth. Nothing it has scheduled runs while it is frozen or after it is killed. */
export class LabProcess {
  isUp = true
  /** CPU time used so far, in ms of a whole core. */
  cpuMs = 0
  private frozenUntil = 0
  private busyUntil = 0
  /** Until when the machine's link is busy, by direction. */
  private sendingUntil = 0
  private receivingUntil = 0

  /**
   * @param worldClock - clock of the simulation
   * @param cores - CPU cores that it may use
   * @param megabits - bandwidth of its link in each direction, in Mbit/s
   */
  constructor (private readonly worldClock: Clock, private readonly cores: number, private readonly megabits = Infinity) {}

  /** The clock of the process's code: timers are delayed while the process is frozen and dropped once it is killed. */
  readonly clock: Clock = {
    now: () => this.worldClock.now(),
    wallNow: () => this.worldClock.wallNow(),
    after: (ms, fn) => this.worldClock.after(ms, () => this.run(fn)),
    sleep: (ms) => new Promise((resolve) => { this.clock.after(ms, resolve) })
  }

  /** Calls a function now, or when the process is no longer frozen; not at all once it is killed. */
  run (fn: () => void): void {
    if (!this.isUp) return
    const waitMs = this.frozenUntil - this.worldClock.now()
    if (waitMs > 0) this.worldClock.after(waitMs, () => this.run(fn))
    else fn()
  }

  /**
   * Calls a function after the CPU work that is queued before it and its own.
   *
   * @param cpuMs - CPU time, in ms of a whole core
   */
  execute (cpuMs: number, fn: () => void): void {
    const now = this.worldClock.now()
    this.cpuMs += cpuMs
    this.busyUntil = Math.max(now, this.busyUntil, this.frozenUntil) + cpuMs / this.cores
    this.worldClock.after(this.busyUntil - now, () => this.run(fn))
  }

  /**
   * Sends bytes over the machine's link, after those that are queued there.
   *
   * @returns time until the last of them is sent, in ms
   */
  send (bytes: number): number {
    const now = this.worldClock.now()
    this.sendingUntil = Math.max(now, this.sendingUntil) + this.transmissionMs(bytes)
    return this.sendingUntil - now
  }

  /** Calls a function once bytes have been received over the machine's link, after those that are queued there. */
  receive (bytes: number, fn: () => void): void {
    const now = this.worldClock.now()
    this.receivingUntil = Math.max(now, this.receivingUntil) + this.transmissionMs(bytes)
    if (this.receivingUntil === now) return fn()
    this.worldClock.after(this.receivingUntil - now, fn)
  }

  private transmissionMs (bytes: number): number {
    return bytes * BITS_PER_BYTE / (this.megabits * BITS_PER_MS_OF_MEGABIT)
  }

  /** Suspends the process for a time, in ms. */
  freeze (ms: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.worldClock.now() + ms)
  }

  /** Ends the process for good. */
  kill (): void {
    this.isUp = false
  }
}
