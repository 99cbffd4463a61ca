import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import { EndpointOrders } from './endpointOrders.js'
import { EndpointResponsiveness } from './endpointResponsiveness.js'
import type { EndpointSupervisorOptions } from './endpointSupervisorOptions.js'
import { FreeCapacity } from './freeCapacity.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import { InFlightRuns } from './inFlightRuns.js'
import { RunLease } from './runLease.js'
import { stopEarlierRuns } from './stopEarlierRuns.js'
import type { PollOutcome, RunRef } from './types.js'

/** Longest wait of a poll that does not renew the run lease: a renewal is due as soon as the entry lease is verified, or the stop answered, that prevents it. */
const UNRENEWED_WAIT_MS = 25
/** How often an immediate poll is sent if it is not answered; after that, the next regular poll lists the same. */
const MAX_POLL_TRIES = 3

/** What confirmed that the last run of a retired incarnation has terminated. */
const RETIREMENT_PROOFS = {
  /** The endpoint's own lists. */
  listed: 'listed',
  /** Another incarnation has answered in its place. */
  replaced: 'replaced',
  /** The last run lease has expired. */
  expired: 'expired'
} as const
type RetirementProof = typeof RETIREMENT_PROOFS[keyof typeof RETIREMENT_PROOFS]

/**
 * Supervises all runs of one endpoint incarnation: orders starts within its
 * capacity, renews the run lease by polling, and confirms which runs have terminated.
 *
 * Invariant: a run leaves `inFlight` only when the endpoint has listed its end,
 * when a poll sent after its order's outcome was known does not list it, when
 * every run lease has expired on the endpoint's clock, or when another incarnation
 * was found in its place. What the endpoint announces of its own end is no proof, as
 * its tasks are at work until that.
 */
export class EndpointSupervisor {
  private readonly inFlight: InFlightRuns
  private readonly orders: EndpointOrders
  private readonly lease: RunLease
  private readonly responsiveness: EndpointResponsiveness
  private isPolling = false
  private mustPollAgain = false
  private isReady = false
  private isEnded = false
  /** When and why the incarnation was retired, on the agent's clock; undefined before. */
  private retirement: { at: number, reason: Reason } | undefined
  private wake: (() => void) | undefined
  /** The capacity that remains besides the runs in flight; the capacity itself may change at any time. */
  readonly remaining: FreeCapacity

  constructor (private readonly options: EndpointSupervisorOptions) {
    this.inFlight = new InFlightRuns({
      hasExpiredAt: (time) => this.lease.hasExpiredAt(time),
      onTerminated: () => this.onTerminated(),
      onOrphan: (run) => { void this.stopOrphan(run) }
    })
    this.remaining = new FreeCapacity(options.capacity, this.inFlight.byTask)
    this.lease = new RunLease({ ...options, inFlight: this.inFlight.byTask })
    this.responsiveness = new EndpointResponsiveness(options.clock, options.pollWaitMs)
    this.orders = new EndpointOrders({
      ...options,
      responsiveness: this.responsiveness,
      isInFlight: (run) => !this.isEnded && this.inFlight.has(run),
      isEnded: () => this.isEnded,
      mayStart: () => !this.isRetired && options.mayStart() && !this.remaining.isOvercommitted && !this.lease.isHoldingStarts,
      leaseForStart: () => this.lease.leaseForStart(),
      onResolved: (run) => this.inFlight.onResolved(run),
      onStopAnswered: (run) => { run.isStopAnswered = true },
      onTerminated: (run, outcome) => this.inFlight.terminate(run, outcome),
      onGone: () => this.onGone(),
      poll: () => { void this.pollNow() }
    })
    void this.keepPolling()
  }

  /** Number of runs that are not confirmed terminated. */
  get inFlightCount (): number {
    return this.inFlight.size
  }

  /** True once the runs of earlier agents have terminated, until the incarnation is retired or ends. */
  get acceptsStarts (): boolean {
    return this.isReady && !this.isRetired && !this.isEnded
  }

  /** True once the incarnation gets no more work, though runs of it may not have terminated. */
  get isRetired (): boolean {
    return this.retirement !== undefined
  }

  /** Resources for further starts; zero while the endpoint accepts no starts, is unresponsive, or leaves a stop unanswered for long. */
  get freeCapacity (): Resources {
    const isOpen = this.acceptsStarts && !this.responsiveness.isUnresponsive && !this.lease.isHoldingStarts
    return isOpen ? this.remaining.free : { cpuMilli: 0, memoryMb: 0 }
  }

  /** Orders a start. The caller has checked the free capacity and that no run of the task is in flight. */
  start (submission: string, index: number, payload: string, need: Resources, onTerminated: (outcome: AttemptOutcome) => void): InFlightRun {
    const ref = { submission, index, run: 0 }
    const run: InFlightRun = {
      ...ref, payload, need, hasBegun: false, stopReason: undefined, isStopAnswered: false, resolvedAtPoll: undefined, startedAt: this.options.clock.now(), onTerminated
    }
    this.inFlight.add(run)
    void this.orders.start(run)
    this.wake?.()
    return run
  }

  /** Orders a stop; `onTerminated` of the run is called once its termination is confirmed. */
  stop (run: InFlightRun, reason: Reason): void {
    if (run.stopReason !== undefined) return
    run.stopReason = reason
    if (run.resolvedAtPoll !== undefined) void this.orders.stop(run)
  }

  /**
   * The incarnation gets no more work: it leaves, or another one takes its place. It may
   * still be at work on its runs, so each of them is lost only once it is confirmed
   * terminated. They are stopped, and their lease is not renewed any more.
   *
   * @param reason - reported for the runs that are lost
   */
  retire (reason: Reason): void {
    if (this.isEnded || this.isRetired) return
    if (this.inFlight.size === 0) return this.end(reason)
    this.retirement = { at: this.options.clock.now(), reason }
    for (const run of this.inFlight.byTask.values()) this.stop(run, REASONS.endpointGone)
    // Ends that are listed already count before its process is gone.
    void this.pollNow()
  }

  /** The incarnation has ended, and all of its runs with it. */
  end (reason: Reason): void {
    if (this.isEnded) return
    this.isEnded = true
    this.wake?.()
    this.responsiveness.releaseWaiters()
    this.inFlight.loseAll(reason)
  }

  /** Polls at once without renewal, beside the regular poll that waits for an end; a request during such a poll causes another one. */
  private async pollNow (): Promise<void> {
    this.mustPollAgain = true
    if (this.isPolling) return
    this.isPolling = true
    for (let unanswered = 0; this.mustPollAgain && unanswered < MAX_POLL_TRIES && !this.isEnded;) {
      this.mustPollAgain = false
      const poll = this.inFlight.onPollSent()
      const sentAt = this.options.clock.now()
      const onLate = (late: PollOutcome): void => this.onLateAnswer(poll, sentAt, late)
      const outcome = await this.options.endpoint.poll({ runLeaseMs: undefined, lastSeen: this.inFlight.lastSeen, waitMs: 0, onLate })
      if (this.isEnded) break
      if (outcome.type === 'gone') this.onGone()
      else if (outcome.type === 'listed') this.inFlight.reconcile(poll, sentAt, outcome)
      else {
        this.responsiveness.onCallLost()
        this.mustPollAgain = true
        unanswered++
      }
    }
    this.isPolling = false
  }

  /** The sequence of regular polls, from the takeover until the incarnation ends. */
  private async keepPolling (): Promise<void> {
    await this.takeOver()
    while (!this.isEnded) {
      // An unresponsive endpoint gets no starts, so only polls can show that it answers again.
      const isIdle = this.inFlight.size === 0 && !this.responsiveness.isUnresponsive
      await (isIdle ? this.untilBusy() : this.pollOnce())
    }
  }

  /** Nothing starts before the runs of earlier agents have terminated. */
  private async takeOver (): Promise<void> {
    const outcome = await stopEarlierRuns({ ...this.options, isEnded: () => this.isEnded })
    if (outcome.type === 'gone') return this.onGone()
    if (outcome.type === 'ended') return
    this.inFlight.lastSeen = outcome.lastSeen
    this.isReady = true
    this.options.onReady()
  }

  private async untilBusy (): Promise<void> {
    await new Promise<void>((resolve) => { this.wake = resolve })
    this.wake = undefined
  }

  private async pollOnce (): Promise<void> {
    const { clock, endpoint, beforeRenewal } = this.options
    beforeRenewal()
    const poll = this.inFlight.onPollSent()
    const sentAt = clock.now()
    const { isUnresponsive, pollWaitMs } = this.responsiveness
    const isUnverified = this.options.isUnverified?.() === true
    const mayRenew = !isUnverified && !this.isRetired && !this.lease.isStopPending
    const runLeaseMs = isUnresponsive || !mayRenew ? undefined : this.lease.renew()
    const waitMs = mayRenew ? pollWaitMs : Math.min(UNRENEWED_WAIT_MS, pollWaitMs)
    const onLate = (late: PollOutcome): void => this.onLateAnswer(poll, sentAt, late)
    const outcome = await endpoint.poll({ runLeaseMs, lastSeen: this.inFlight.lastSeen, waitMs, onLate })
    if (this.isEnded) return
    if (outcome.type === 'gone') return this.onGone()
    if (outcome.type === 'unknown') this.onPollUnanswered(sentAt, outcome.isRefused === true)
    else this.onPollAnswered(poll, sentAt, outcome)
    await clock.sleep(Math.min(this.responsiveness.pauseMs, this.lease.untilExpiryMs))
  }

  /** Handles the answer to a poll that counted as unanswered: the endpoint is responsive, if slow. */
  private onLateAnswer (poll: number, sentAt: number, outcome: PollOutcome): void {
    if (this.isEnded) return
    if (outcome.type === 'gone') this.onGone()
    if (outcome.type === 'listed') this.onPollAnswered(poll, sentAt, outcome)
  }

  private onPollAnswered (poll: number, sentAt: number, outcome: PollOutcome & { type: 'listed' }): void {
    const wasUnresponsive = this.responsiveness.isUnresponsive
    this.responsiveness.onPollAnswered()
    this.inFlight.reconcile(poll, sentAt, outcome)
    if (wasUnresponsive) this.options.onCapacityFreed()
  }

  private onPollUnanswered (sentAt: number, isRefused: boolean): void {
    const { clock, log, onCapacityFreed } = this.options
    if (this.responsiveness.onPollUnanswered(sentAt, isRefused)) {
      log('endpoint_silent', { tasks: this.inFlight.size, connectionRefused: isRefused })
      onCapacityFreed()
    }
    if (!this.lease.hasExpiredAt(clock.now())) return
    if (this.retirement !== undefined) this.endRetired(this.retirement, RETIREMENT_PROOFS.expired)
    else if (this.responsiveness.isUnresponsive) this.inFlight.loseAll(this.reasonOfSilence)
  }

  /** The last run of the retired incarnation is confirmed terminated. */
  private endRetired ({ at, reason }: { at: number, reason: Reason }, by: RetirementProof): void {
    const { clock, log } = this.options
    log('retired_endpoint_ended', { reason, by, ms: Math.round(clock.now() - at) })
    this.end(reason)
  }

  private get reasonOfSilence (): Reason {
    const { endReason } = this.options
    return this.responsiveness.isRefusingConnections ? endReason() : REASONS.endpointReset
  }

  /** Stops a run that is not in flight: this agent considers it terminated, or an earlier agent ordered it. */
  private async stopOrphan (run: RunRef): Promise<void> {
    this.options.log('orphaned_run', { job: run.submission, task: run.index, run: run.run })
    await this.options.endpoint.stop(run)
  }

  private onGone (): void {
    if (this.isEnded) return
    if (this.retirement !== undefined) return this.endRetired(this.retirement, RETIREMENT_PROOFS.replaced)
    this.end(this.options.endReason())
    this.options.onGone()
  }

  private onTerminated (): void {
    this.options.onCapacityFreed()
    if (this.retirement !== undefined && !this.isEnded && this.inFlight.size === 0) this.endRetired(this.retirement, RETIREMENT_PROOFS.listed)
  }
}
