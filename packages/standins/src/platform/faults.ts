/** How the stand-in platform answers calls. */
export const PLATFORM_MODES = {
  ok: 'ok',
  /** Every call is answered with status 503 and has no effect. */
  refuse: 'refuse',
  /** No call is answered or has an effect. */
  hang: 'hang'
} as const
export type PlatformMode = typeof PLATFORM_MODES[keyof typeof PLATFORM_MODES]

/** Faults and speed that `PUT /control` changes while the stand-in platform runs. */
export interface PlatformFaults {
  mode: PlatformMode
  /** Duration of a write, in ms. */
  writeMs: number
  /** Duration of a read, in ms. */
  readMs: number
  /** Writes per second; those beyond the rate wait. */
  writesPerSecond: number
  /** Reads per second; those beyond the rate wait. */
  readsPerSecond: number
  /** Number of next transactions whose response is lost after they took effect. */
  loseAcks: number
  /** Number of next transactions that are delayed by `holdMs` before they take effect. */
  holdWrites: number
  /** Only transactions that write a key with this prefix are delayed; empty for all. */
  holdPrefix: string
  holdMs: number
}

/** A platform without faults, whose writes take several ms. */
export const HEALTHY: PlatformFaults = {
  mode: PLATFORM_MODES.ok,
  writeMs: 4,
  readMs: 1,
  writesPerSecond: 400,
  readsPerSecond: 2000,
  loseAcks: 0,
  holdWrites: 0,
  holdPrefix: '',
  holdMs: 0
}

/** Limits calls to a rate by spacing them at equal intervals. */
export class CallPacer {
  private nextAt = 0

  /** Reserves the next interval; returns how long the call must wait for it, in ms. */
  nextDelayMs (perSecond: number): number {
    const now = performance.now()
    const startAt = Math.max(now, this.nextAt)
    this.nextAt = startAt + 1000 / perSecond
    return startAt - now
  }
}
