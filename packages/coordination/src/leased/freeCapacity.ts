import type { Resources } from '@hazellift/decisions'
import type { InFlightRun } from './inFlightRun.js'

/** Free capacity of an endpoint: its capacity less the needs of all runs in flight. */
export class FreeCapacity {
  /**
   * @param capacity - as the endpoint last announced
   * @param inFlight - runs that are not confirmed terminated
   */
  constructor (private capacity: Resources, private readonly inFlight: ReadonlyMap<string, InFlightRun>) {}

  /** Adopts another capacity that the endpoint has announced. */
  setCapacity (capacity: Resources): void {
    this.capacity = capacity
  }

  /** Resources for further starts; never negative. */
  get free (): Resources {
    const { cpuMilli, memoryMb } = this.remaining
    return { cpuMilli: Math.max(0, cpuMilli), memoryMb: Math.max(0, memoryMb) }
  }

  /** True if the capacity has shrunk below the needs of the runs in flight. */
  get isOvercommitted (): boolean {
    return this.remaining.cpuMilli < 0 || this.remaining.memoryMb < 0
  }

  private get remaining (): Resources {
    const remaining = { ...this.capacity }
    for (const { need } of this.inFlight.values()) {
      remaining.cpuMilli -= need.cpuMilli
      remaining.memoryMb -= need.memoryMb
    }
    return remaining
  }
}
