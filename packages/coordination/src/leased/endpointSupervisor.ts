import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import { EndpointResponsiveness } from './endpointResponsiveness.js'
import { EndpointOrders } from './endpointOrders.js'
import { FreeCapacity } from './freeCapacity.js'
import type { EndpointSupervisorOptions } from './endpointSupervisorOptions.js'
import { taskNameOf } from './inFlightRun.js'
import type { AttemptOutcome, InFlightRun } from './inFlightRun.js'
import { runExpiryMs } from './times.js'
import { RUN_ENDS } from './types.js'
import type { PollOutcome, ListedEnd, RunRef } from './types.js'

/** Pause between looks at what an earlier agent left. */
const TAKEOVER_PAUSE_MS = 25
/** A look waits no longer for an end while it takes the place of a hold that will be due at any moment. */
const UNVERIFIED_WAIT_MS = 25
/** Unanswered looks in a row that are repeated at once; the next hold looks, too. */
const MAX_POLL_TRIES = 3

/**
 * One life of the endpoint beside this agent: orders starts within its
 * capacity, holds what runs, and proves what is over.
 *
 * Invariant: a task leaves `tasks` only when the endpoint listed its end, when
 * a look sent after the endpoint settled its order (it runs, or never will)
 * does not show it, or when every hold sent has lapsed on the endpoint's clock.
 */
export class EndpointSupervisor {
  private readonly inFlight = new Map<string, InFlightRun>()
  private readonly orders: EndpointOrders
  private lastSeen = 0
  private pollCount = 0
  /** The newest look whose answer was read. */
  private lastAnsweredPoll = 0
  private leaseRenewedAt = -Infinity
  private readonly responsiveness: EndpointResponsiveness
  private isPolling = false
  private mustPollAgain = false
  private isReady = false
  private isEnded = false
  private wake: (() => void) | undefined
  /** What is left of the capacity; it takes another one at any time. */
  readonly remaining: FreeCapacity

  constructor (private readonly options: EndpointSupervisorOptions) {
    this.remaining = new FreeCapacity(options.capacity, this.inFlight)
    this.responsiveness = new EndpointResponsiveness(options.clock, options.pollWaitMs)
    this.orders = new EndpointOrders({
      ...options,
      responsiveness: this.responsiveness,
      isInFlight: (task) => !this.isEnded && this.isInFlight(task),
      isEnded: () => this.isEnded,
      mayStart: () => options.mayStart() && !this.remaining.isOvercommitted,
      onRenewed: () => { this.leaseRenewedAt = options.clock.now() },
      onResolved: (task) => { task.resolvedAtPoll = this.pollCount },
      onTerminated: (task, over) => this.terminate(task, over),
      onGone: () => this.onGone(),
      poll: () => { void this.pollNow() }
    })
    void this.keepPolling()
  }

  /** Tasks not proved to be over. */
  get inFlightCount (): number {
    return this.inFlight.size
  }

  /** True while starts are taken. */
  get acceptsStarts (): boolean {
    return this.isReady && !this.isEnded
  }

  /** What can be started beside everything that is not proved to be over. */
  get freeCapacity (): Resources {
    return this.acceptsStarts && !this.responsiveness.isUnresponsive ? this.remaining.free : { cpuMilli: 0, memoryMb: 0 }
  }

  /** The task, if it is not proved to be over. */
  find (submission: string, index: number): InFlightRun | undefined {
    return this.inFlight.get(taskNameOf({ submission, index }))
  }

  /** Orders a start. The caller has checked the room and that the task is not here. */
  start (submission: string, index: number, payload: string, need: Resources, onOver: (over: AttemptOutcome) => void): InFlightRun {
    const ref = { submission, index, run: 0 }
    const task: InFlightRun = {
      ...ref, payload, need, stopReason: undefined, resolvedAtPoll: undefined, startedAt: this.options.clock.now(), onTerminated: onOver
    }
    this.inFlight.set(taskNameOf(ref), task)
    void this.orders.start(task)
    this.wake?.()
    return task
  }

  /** Ends a task. Its end is told once it is proved. */
  stop (task: InFlightRun, reason: Reason): void {
    if (task.stopReason !== undefined) return
    task.stopReason = reason
    if (task.resolvedAtPoll !== undefined) void this.orders.stop(task)
  }

  /** The endpoint is gone, and with it everything that ran there. */
  end (reason: Reason): void {
    if (this.isEnded) return
    this.isEnded = true
    this.wake?.()
    this.responsiveness.releaseWaiters()
    for (const task of [...this.inFlight.values()]) this.terminate(task, { type: 'lost', reason })
  }

  /** Looks at once, beside the hold that waits for an end; a look that is asked for meanwhile follows. */
  private async pollNow (): Promise<void> {
    this.mustPollAgain = true
    if (this.isPolling) return
    this.isPolling = true
    for (let misses = 0; this.mustPollAgain && misses < MAX_POLL_TRIES && !this.isEnded;) {
      this.mustPollAgain = false
      const hold = ++this.pollCount
      const outcome = await this.options.endpoint.poll({ runLeaseMs: undefined, lastSeen: this.lastSeen, waitMs: 0 })
      if (this.isEnded) break
      if (outcome.type === 'gone') this.onGone()
      else if (outcome.type === 'held') this.reconcile(hold, outcome)
      else {
        this.responsiveness.onCallLost()
        this.mustPollAgain = true
        misses++
      }
    }
    this.isPolling = false
  }

  private async keepPolling (): Promise<void> {
    await this.stopEarlierRuns()
    while (!this.isEnded) {
      // A silent endpoint gets no start, so it must be looked at until it answers again.
      const isIdle = this.inFlight.size === 0 && !this.responsiveness.isUnresponsive
      await (isIdle ? this.untilBusy() : this.pollOnce())
    }
  }

  /** Nothing starts before whatever an earlier agent left has ended; it is not held on. */
  private async stopEarlierRuns (): Promise<void> {
    const { clock, endpoint, log, onReady: onOpen } = this.options
    while (!this.isEnded) {
      const outcome = await endpoint.poll({ runLeaseMs: undefined, lastSeen: this.lastSeen, waitMs: 0 })
      if (outcome.type === 'gone') return this.onGone()
      if (outcome.type === 'held') {
        for (const { seq } of outcome.ended) this.lastSeen = Math.max(this.lastSeen, seq)
        if (outcome.running.length === 0) {
          this.isReady = true
          return onOpen()
        }
        log('left_by_earlier_agent', { runs: outcome.running.length })
        await Promise.all(outcome.running.map((run) => endpoint.stop(run)))
      }
      await clock.sleep(TAKEOVER_PAUSE_MS)
    }
  }

  private async untilBusy (): Promise<void> {
    await new Promise<void>((resolve) => { this.wake = resolve })
    this.wake = undefined
  }

  private async pollOnce (): Promise<void> {
    const { clock, endpoint, times, beforeRenewal: beforeHold } = this.options
    beforeHold()
    const hold = ++this.pollCount
    const sentAt = clock.now()
    const { isUnresponsive: isSilent, pollWaitMs: holdWaitMs } = this.responsiveness
    const isDoubtful = this.options.isUnverified?.() === true
    const holdMs = isSilent || isDoubtful ? undefined : times.runLeaseMs
    if (holdMs !== undefined) this.leaseRenewedAt = sentAt
    const waitMs = isDoubtful ? Math.min(UNVERIFIED_WAIT_MS, holdWaitMs) : holdWaitMs
    const outcome = await endpoint.poll({ runLeaseMs: holdMs, lastSeen: this.lastSeen, waitMs })
    if (this.isEnded) return
    if (outcome.type === 'gone') return this.onGone()
    if (outcome.type === 'unknown') this.onPollUnanswered(sentAt, outcome.isRefused === true)
    else this.onPollAnswered(hold, outcome)
    await clock.sleep(Math.min(this.responsiveness.pauseMs, this.untilExpiryMs))
  }

  /** Time until all that was held has lapsed, if that is still to be proved. */
  private get untilExpiryMs (): number {
    const leftMs = this.leaseRenewedAt + runExpiryMs(this.options.times) - this.options.clock.now()
    return this.inFlight.size > 0 && leftMs > 0 ? leftMs : Infinity
  }

  private onPollAnswered (hold: number, outcome: PollOutcome & { type: 'held' }): void {
    const wasSilent = this.responsiveness.isUnresponsive
    this.responsiveness.onPollAnswered()
    this.reconcile(hold, outcome)
    if (wasSilent) this.options.onCapacityFreed()
  }

  private onPollUnanswered (sentAt: number, isRefused: boolean): void {
    const { clock, times, log, onCapacityFreed: onRoom, endReason } = this.options
    if (this.responsiveness.onPollUnanswered(sentAt, isRefused)) {
      log('endpoint_silent', { tasks: this.inFlight.size, refusing: isRefused })
      onRoom()
    }
    if (!this.responsiveness.isUnresponsive || clock.now() - this.leaseRenewedAt < runExpiryMs(times)) return
    const reason = this.responsiveness.isRefusingConnections ? endReason() : REASONS.endpointReset
    for (const task of [...this.inFlight.values()]) this.terminate(task, { type: 'lost', reason })
  }

  private reconcile (hold: number, { running, ended }: PollOutcome & { type: 'held' }): void {
    for (const end of ended) this.onListedEnd(end)
    const shown = new Set(running.map(({ run, ...ref }) => `${taskNameOf(ref)}#${run}`))
    for (const task of [...this.inFlight.values()]) {
      const isSettled = task.resolvedAtPoll !== undefined && hold > task.resolvedAtPoll
      if (!isSettled || shown.has(`${taskNameOf(task)}#${task.run}`)) continue
      const reason = task.stopReason ?? REASONS.leaseExpired
      this.terminate(task, reason === REASONS.orderUnanswered ? { type: 'not_started', reason } : { type: 'lost', reason })
    }
    // An answer that was overtaken by that of a later look may show what has ended since.
    if (hold < this.lastAnsweredPoll) return
    this.lastAnsweredPoll = hold
    for (const run of running) if (!this.inFlight.has(taskNameOf(run))) void this.stopOrphan(run)
  }

  /** What runs here and is not known was ordered before this agent gave up on it, or by an earlier one. */
  private async stopOrphan (run: RunRef): Promise<void> {
    this.options.log('stray_run', { job: run.submission, task: run.index, run: run.run })
    await this.options.endpoint.stop(run)
  }

  private onListedEnd (end: ListedEnd): void {
    if (end.seq <= this.lastSeen) return
    this.lastSeen = end.seq
    const task = this.inFlight.get(taskNameOf(end))
    if (task?.run !== end.run) return
    const isCut = task.stopReason !== undefined && end.how !== RUN_ENDS.done && end.how !== RUN_ENDS.failed
    this.terminate(task, isCut ? { type: 'lost', reason: task.stopReason! } : { type: 'ended', how: end.how })
  }

  private onGone (): void {
    if (this.isEnded) return
    this.end(this.options.endReason())
    this.options.onGone()
  }

  private isInFlight (task: InFlightRun): boolean {
    return this.inFlight.get(taskNameOf(task)) === task
  }

  private terminate (task: InFlightRun, over: AttemptOutcome): void {
    if (!this.isInFlight(task)) return
    this.inFlight.delete(taskNameOf(task))
    task.onTerminated(over)
    this.options.onCapacityFreed()
  }
}
