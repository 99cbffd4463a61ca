import type { Clock } from '@hazellift/common'
import type { InFlightRun } from './inFlightRun.js'
import { runExpiryMs } from './times.js'
import type { LeaseTimes } from './times.js'

/** What the run lease of an endpoint needs. */
export interface RunLeaseOptions {
  clock: Pick<Clock, 'now'>
  times: LeaseTimes
  /** Runs that are not confirmed terminated. */
  inFlight: ReadonlyMap<string, InFlightRun>
}

/**
 * Nothing is started with less than this share of a run lease. The stop that prevents
 * the renewal has then been repeated many times, so that more likely the lease expires.
 */
const MIN_START_LEASE_SHARE = 1 / 2

/**
 * The run lease that everything at an endpoint shares, as this agent has renewed it.
 *
 * Invariant: the lease is not renewed while a run must end and its stop is not answered,
 * as it would prolong that run, too. Such a run is over `runExpiryMs` after the last
 * renewal before its stop was due, even if no stop is ever answered.
 */
export class RunLease {
  /** When a call that renews the lease was last sent. */
  private renewedAt = -Infinity

  constructor (private readonly options: RunLeaseOptions) {}

  /** True while a run must end and the endpoint has not confirmed that it stops it. */
  get isStopPending (): boolean {
    for (const { stopReason, isStopAnswered } of this.options.inFlight.values()) if (stopReason !== undefined && !isStopAnswered) return true
    return false
  }

  /** True while nothing may be started, as a stop has been pending for so long that little of the lease remains. */
  get isHoldingStarts (): boolean {
    return this.isStopPending && this.remainingMs < this.options.times.runLeaseMs * MIN_START_LEASE_SHARE
  }

  /** Time in ms until all runs in flight have terminated if the lease is not renewed again; Infinity if there are none or that time has passed. */
  get untilExpiryMs (): number {
    const expiresInMs = this.renewedAt + runExpiryMs(this.options.times) - this.options.clock.now()
    return this.options.inFlight.size > 0 && expiresInMs > 0 ? expiresInMs : Infinity
  }

  /** True if nothing ran any more at this time, on the agent's clock. */
  hasExpiredAt (time: number): boolean {
    return time - this.renewedAt >= runExpiryMs(this.options.times)
  }

  /** A call that renews the lease is sent now. Returns the length of the lease, in ms. */
  renew (): number {
    this.renewedAt = this.options.clock.now()
    return this.options.times.runLeaseMs
  }

  /**
   * A start is sent now, which cannot do without a lease. While a stop is pending it carries
   * what remains of the last one, which prolongs nothing.
   *
   * @returns length of the lease that the start carries, in ms
   */
  leaseForStart (): number {
    return this.isStopPending ? this.remainingMs : this.renew()
  }

  private get remainingMs (): number {
    return this.renewedAt + this.options.times.runLeaseMs - this.options.clock.now()
  }
}
