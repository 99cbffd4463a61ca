/** How the stand-in answers. */
export const PLATFORM_MODES = {
  ok: 'ok',
  /** Status 503; nothing takes effect. */
  refuse: 'refuse',
  /** No answer; nothing takes effect. */
  hang: 'hang'
} as const
export type PlatformMode = typeof PLATFORM_MODES[keyof typeof PLATFORM_MODES]

/** What can be set while the stand-in runs. */
export interface PlatformFaults {
  mode: PlatformMode
  /** Time of a write, in ms. */
  writeMs: number
  /** Time of a read, in ms. */
  readMs: number
  /** Writes a second; further ones wait. */
  writesPerSecond: number
  /** Reads a second; further ones wait. */
  readsPerSecond: number
  /** Acknowledgements of transactions to lose after they took effect. */
  loseAcks: number
  /** Transactions to hold back for `holdMs` before they take effect. */
  holdWrites: number
  holdMs: number
}

/** A platform in good health: writes cost several ms. */
export const HEALTHY: PlatformFaults = {
  mode: PLATFORM_MODES.ok,
  writeMs: 4,
  readMs: 1,
  writesPerSecond: 400,
  readsPerSecond: 2000,
  loseAcks: 0,
  holdWrites: 0,
  holdMs: 0
}

/** Spaces calls out to a rate; gives each one's delay in ms. */
export class CallPacer {
  private nextAt = 0

  /** Ms that a call starting now must wait. */
  nextDelayMs (perSecond: number): number {
    const now = performance.now()
    const startAt = Math.max(now, this.nextAt)
    this.nextAt = startAt + 1000 / perSecond
    return startAt - now
  }
}
