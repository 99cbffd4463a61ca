/** Time over which arrivals are remembered. */
const DECAY_MS = 1000

/** Which part of the arrivals of the last moments was handed on. */
export class HandedOnShare {
  private arrived = 0
  private handedOn = 0
  private decayedAt = 0

  onArrival (isHandedOn: boolean, now: number): void {
    this.decay(now)
    this.arrived++
    if (isHandedOn) this.handedOn++
  }

  /** From 0 to 1. */
  read (now: number): number {
    this.decay(now)
    return this.handedOn / Math.max(1, this.arrived)
  }

  private decay (now: number): void {
    const kept = Math.exp((this.decayedAt - now) / DECAY_MS)
    this.arrived *= kept
    this.handedOn *= kept
    this.decayedAt = now
  }
}
