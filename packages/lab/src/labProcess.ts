import type { Clock } from '@hazellift/common'

const BITS_PER_BYTE = 8
/** Bits that a megabit a second carries in a ms. */
const BITS_PER_MS_OF_MEGABIT = 1000

/** One process of the system: what it does takes its share of a processor, and stops with it. */
export class LabProcess {
  isUp = true
  /** Processor time that its work took, in ms of a whole core. */
  cpuMs = 0
  private frozenUntil = 0
  private busyUntil = 0
  /** Until when the machine's link is taken, by direction. */
  private sendingUntil = 0
  private receivingUntil = 0

  /**
   * @param worldClock - the world's clock
   * @param cores - its share of a core
   * @param megabits - what its link carries each way, a second
   */
  constructor (private readonly worldClock: Clock, private readonly cores: number, private readonly megabits = Infinity) {}

  /** The clock that the process's code sees: its timers wait while it stands still, and end with it. */
  readonly clock: Clock = {
    now: () => this.worldClock.now(),
    wallNow: () => this.worldClock.wallNow(),
    after: (ms, fn) => this.worldClock.after(ms, () => this.run(fn)),
    sleep: (ms) => new Promise((resolve) => { this.clock.after(ms, resolve) })
  }

  /** Runs something now, or once the process goes on. */
  run (fn: () => void): void {
    if (!this.isUp) return
    const waitMs = this.frozenUntil - this.worldClock.now()
    if (waitMs > 0) this.worldClock.after(waitMs, () => this.run(fn))
    else fn()
  }

  /**
   * Runs something after the work that is ahead of it.
   *
   * @param costMs - processor time of a whole core
   */
  execute (costMs: number, fn: () => void): void {
    const now = this.worldClock.now()
    this.cpuMs += costMs
    this.busyUntil = Math.max(now, this.busyUntil, this.frozenUntil) + costMs / this.cores
    this.worldClock.after(this.busyUntil - now, () => this.run(fn))
  }

  /**
   * Puts bytes on the machine's link, behind those before them.
   *
   * @returns until they have left, in ms
   */
  send (bytes: number): number {
    const now = this.worldClock.now()
    this.sendingUntil = Math.max(now, this.sendingUntil) + this.transmissionMs(bytes)
    return this.sendingUntil - now
  }

  /** Runs something once bytes have come in over the machine's link, behind those before them. */
  receive (bytes: number, fn: () => void): void {
    const now = this.worldClock.now()
    this.receivingUntil = Math.max(now, this.receivingUntil) + this.transmissionMs(bytes)
    if (this.receivingUntil === now) return fn()
    this.worldClock.after(this.receivingUntil - now, fn)
  }

  private transmissionMs (bytes: number): number {
    return bytes * BITS_PER_BYTE / (this.megabits * BITS_PER_MS_OF_MEGABIT)
  }

  /** The process stands still. */
  freeze (ms: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, this.worldClock.now() + ms)
  }

  kill (): void {
    this.isUp = false
  }
}
