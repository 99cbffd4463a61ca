import type { Resources } from '@hazellift/decisions'
import type { InFlightRun } from './inFlightRun.js'

/** What an endpoint has beside everything that is not proved to be over. */
export class FreeCapacity {
  /**
   * @param capacity - as the endpoint told last
   * @param tasks - those not proved to be over
   */
  constructor (private capacity: Resources, private readonly tasks: ReadonlyMap<string, InFlightRun>) {}

  /** The endpoint has told another capacity. */
  setCapacity (capacity: Resources): void {
    this.capacity = capacity
  }

  /** What can be started. */
  get free (): Resources {
    const { cpuMilli, memoryMb } = this.remaining
    return { cpuMilli: Math.max(0, cpuMilli), memoryMb: Math.max(0, memoryMb) }
  }

  /** True where the capacity has shrunk below what runs. */
  get isOvercommitted (): boolean {
    return this.remaining.cpuMilli < 0 || this.remaining.memoryMb < 0
  }

  private get remaining (): Resources {
    const left = { ...this.capacity }
    for (const { need } of this.tasks.values()) {
      left.cpuMilli -= need.cpuMilli
      left.memoryMb -= need.memoryMb
    }
    return left
  }
}
