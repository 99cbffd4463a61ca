/** Time constant of the exponential decay of the counts. */
const DECAY_MS = 1000

/** Share of an entry's recent arrivals that was handed on to other entries; older arrivals decay exponentially. */
export class HandedOnShare {
  private arrived = 0
  private handedOn = 0
  private decayedAt = 0

  /** Counts a job that arrived. */
  onArrival (isHandedOn: boolean, now: number): void {
    this.decay(now)
    this.arrived++
    if (isHandedOn) this.handedOn++
  }

  /** The share, from 0 to 1. */
  read (now: number): number {
    this.decay(now)
    return this.handedOn / Math.max(1, this.arrived)
  }

  private decay (now: number): void {
    const factor = Math.exp((this.decayedAt - now) / DECAY_MS)
    this.arrived *= factor
    this.handedOn *= factor
    this.decayedAt = now
  }
}
