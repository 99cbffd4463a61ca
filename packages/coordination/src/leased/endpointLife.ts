import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import type { Reason } from '@hazellift/protocol'
import { RunNumbers } from './runNumbers.js'
import { lapsedMs } from './times.js'
import type { LeaseTimes } from './times.js'
import { RUN_ENDS } from './types.js'
import type { HoldOutcome, LeasedEndpoint, ListedEnd, RunEnd, RunRef } from './types.js'

/** How an attempt ended, as far as this agent can prove. */
export type AttemptOver =
  /** The start is proved void. */
  | { type: 'not_started', reason: Reason }
  | { type: 'ended', how: RunEnd }
  /** It may have run, and is proved to be over. */
  | { type: 'lost', reason: Reason }

/** A task that was ordered at the endpoint and is not proved to be over. */
export interface HeldTask extends RunRef {
  payload: string
  need: Resources
  /** Set once somebody wants its end; it counts against the room until the end is listed. */
  stopReason: Reason | undefined
  /** Holds sent after this one prove by its absence that it is over; unset while its order is unanswered. */
  settledAtHold: number | undefined
  startedAt: number
  onOver: (over: AttemptOver) => void
}

/** What a life needs. */
export interface EndpointLifeOptions {
  clock: Clock
  endpoint: LeasedEndpoint
  capacity: Resources
  times: LeaseTimes
  /** How long the answer to a hold may wait for an end. */
  waitMs: number
  /** Called before each hold: runs without authority must be stopped before they are held on. */
  beforeHold: () => void
  /** The room changed. */
  onRoom: () => void
  /** Nothing of an earlier agent runs any more; starts are taken from now on. */
  onOpen: () => void
  /** Another life of the endpoint has answered. */
  onGone: () => void
  log: (event: string, fields: Record<string, string | number | boolean | undefined>) => void
}

/** Pause between attempts to stop a run, or to look again. */
const RETRY_MS = 100
/** Runs that end at about the same time are looked at together. */
const GATHER_MS = 4
const MAX_NUMBER_TRIES = 6
/** Unanswered holds in a row after which what runs is left to lapse, so that its end gets certain. */
const MAX_MISSES = 3

const nameOf = ({ submission, index }: RunRef): string => `${submission}.${index}`

/**
 * One life of the endpoint beside this agent: orders starts within its
 * capacity, holds what runs, and proves what is over.
 *
 * Invariant: a task leaves `tasks` only when the endpoint listed its end, when
 * a look sent after the endpoint settled its order (it runs, or never will)
 * does not show it, or when every hold sent has lapsed on the endpoint's clock.
 */
export class EndpointLife {
  private readonly tasks = new Map<string, HeldTask>()
  private readonly runNumbers = new RunNumbers()
  private lastSeen = 0
  private holds = 0
  private heldAt = -Infinity
  /** Holds in a row that were not answered. */
  private misses = 0
  private isOpen = false
  private isEnded = false
  private wake: (() => void) | undefined

  constructor (private readonly options: EndpointLifeOptions) {
    void this.holdOn()
  }

  /** Tasks not proved to be over. */
  get busy (): number {
    return this.tasks.size
  }

  /** True while starts are taken. */
  get takesStarts (): boolean {
    return this.isOpen && !this.isEnded
  }

  /** What can be started beside everything that is not proved to be over. */
  get room (): Resources {
    const room = { ...this.options.capacity }
    if (!this.takesStarts || this.isSilent) return { cpuMilli: 0, memoryMb: 0 }
    for (const { need } of this.tasks.values()) {
      room.cpuMilli -= need.cpuMilli
      room.memoryMb -= need.memoryMb
    }
    return { cpuMilli: Math.max(0, room.cpuMilli), memoryMb: Math.max(0, room.memoryMb) }
  }

  /** The task, if it is not proved to be over. */
  find (submission: string, index: number): HeldTask | undefined {
    return this.tasks.get(nameOf({ submission, index, run: 0 }))
  }

  /** Orders a start. The caller has checked the room and that the task is not here. */
  start (submission: string, index: number, payload: string, need: Resources, onOver: (over: AttemptOver) => void): HeldTask {
    const ref = { submission, index, run: 0 }
    const task: HeldTask = {
      ...ref, payload, need, stopReason: undefined, settledAtHold: undefined, startedAt: this.options.clock.now(), onOver
    }
    this.tasks.set(nameOf(ref), task)
    void this.order(task)
    this.wake?.()
    return task
  }

  /** Ends a task. Its end is told once it is proved. */
  stop (task: HeldTask, reason: Reason): void {
    if (task.stopReason !== undefined) return
    task.stopReason = reason
    if (task.settledAtHold !== undefined) void this.orderStop(task)
  }

  /** The endpoint is gone, and with it everything that ran there. */
  end (reason: Reason): void {
    if (this.isEnded) return
    this.isEnded = true
    this.wake?.()
    for (const task of [...this.tasks.values()]) this.over(task, { type: 'lost', reason })
  }

  private get isSilent (): boolean {
    return this.misses >= MAX_MISSES
  }

  private async order (task: HeldTask): Promise<void> {
    const { clock, endpoint, times } = this.options
    for (let tries = 0; tries < MAX_NUMBER_TRIES; tries++) {
      task.run = this.runNumbers.next(nameOf(task), tries)
      this.heldAt = clock.now()
      const outcome = await endpoint.start({ ...task, holdMs: times.holdMs })
      if (this.isEnded || !this.isHere(task)) return
      switch (outcome.type) {
        case 'number_used': continue
        case 'refused': return this.over(task, { type: 'not_started', reason: outcome.reason })
        case 'gone': return this.onGone()
        case 'unknown': return this.settleUnknown(task)
        case 'started':
          task.settledAtHold = this.holds
          if (task.stopReason !== undefined) void this.orderStop(task)
          return
      }
    }
    this.over(task, { type: 'not_started', reason: REASONS.endpointBusy })
  }

  private settleUnknown (task: HeldTask): void {
    this.options.log('order_unanswered', { job: task.submission, task: task.index, run: task.run })
    task.stopReason ??= REASONS.orderUnanswered
    void this.orderStop(task)
  }

  /** Repeats the order until it is answered: before that, a run whose start was not answered may begin late. */
  private async orderStop (task: HeldTask): Promise<void> {
    const { clock, endpoint } = this.options
    const isUnsettled = (): boolean => task.settledAtHold === undefined
    while ((this.isHere(task) || isUnsettled()) && !this.isEnded) {
      if (await endpoint.stop(task)) {
        task.settledAtHold = this.holds
        return
      }
      await clock.sleep(RETRY_MS)
    }
  }

  private async holdOn (): Promise<void> {
    await this.join()
    while (!this.isEnded) {
      // An endpoint that has fallen silent gets no start, so it must be looked at until it answers again.
      if (this.tasks.size === 0 && !this.isSilent) await this.untilBusy()
      else await this.holdOnce()
    }
  }

  /** Nothing starts before whatever an earlier agent left has ended; it is not held on. */
  private async join (): Promise<void> {
    const { clock, endpoint, log, onOpen } = this.options
    while (!this.isEnded) {
      const outcome = await endpoint.hold({ holdMs: undefined, lastSeen: this.lastSeen, waitMs: 0 })
      if (outcome.type === 'gone') return this.onGone()
      if (outcome.type === 'held') {
        for (const { seq } of outcome.ended) this.lastSeen = Math.max(this.lastSeen, seq)
        if (outcome.running.length === 0) {
          this.isOpen = true
          return onOpen()
        }
        log('left_by_earlier_agent', { runs: outcome.running.length })
        await Promise.all(outcome.running.map((run) => endpoint.stop(run)))
      }
      await clock.sleep(RETRY_MS / 4)
    }
  }

  private untilBusy (): Promise<void> {
    return new Promise((resolve) => {
      this.wake = () => {
        this.wake = undefined
        resolve()
      }
    })
  }

  private async holdOnce (): Promise<void> {
    const { clock, endpoint, times, waitMs, beforeHold } = this.options
    beforeHold()
    const hold = ++this.holds
    if (!this.isSilent) this.heldAt = clock.now()
    const outcome = await endpoint.hold({ holdMs: this.isSilent ? undefined : times.holdMs, lastSeen: this.lastSeen, waitMs })
    if (this.isEnded) return
    if (outcome.type === 'gone') return this.onGone()
    if (outcome.type === 'unknown') this.onMiss()
    else this.onHeld(hold, outcome)
    await clock.sleep(GATHER_MS)
  }

  private onHeld (hold: number, outcome: HoldOutcome & { type: 'held' }): void {
    const wasSilent = this.isSilent
    this.misses = 0
    this.reconcile(hold, outcome)
    if (wasSilent) this.options.onRoom()
  }

  private onMiss (): void {
    const { clock, times, log, onRoom } = this.options
    if (++this.misses === MAX_MISSES) {
      log('endpoint_silent', { tasks: this.tasks.size })
      onRoom()
    }
    if (!this.isSilent || clock.now() - this.heldAt < lapsedMs(times)) return
    for (const task of [...this.tasks.values()]) this.over(task, { type: 'lost', reason: REASONS.endpointReset })
  }

  private reconcile (hold: number, { running, ended }: HoldOutcome & { type: 'held' }): void {
    for (const end of ended) this.onListedEnd(end)
    const shown = new Set(running.map(({ run, ...ref }) => `${nameOf({ ...ref, run })}#${run}`))
    for (const task of [...this.tasks.values()]) {
      const isSettled = task.settledAtHold !== undefined && hold > task.settledAtHold
      if (!isSettled || shown.has(`${nameOf(task)}#${task.run}`)) continue
      const reason = task.stopReason ?? REASONS.leaseExpired
      this.over(task, reason === REASONS.orderUnanswered ? { type: 'not_started', reason } : { type: 'lost', reason })
    }
    for (const run of running) if (!this.tasks.has(nameOf(run))) void this.stopStray(run)
  }

  /** What runs here and is not known was ordered before this agent gave up on it, or by an earlier one. */
  private async stopStray (run: RunRef): Promise<void> {
    this.options.log('stray_run', { job: run.submission, task: run.index, run: run.run })
    await this.options.endpoint.stop(run)
  }

  private onListedEnd (end: ListedEnd): void {
    if (end.seq <= this.lastSeen) return
    this.lastSeen = end.seq
    const task = this.tasks.get(nameOf(end))
    if (task?.run !== end.run) return
    const isCut = task.stopReason !== undefined && end.how !== RUN_ENDS.done && end.how !== RUN_ENDS.failed
    this.over(task, isCut ? { type: 'lost', reason: task.stopReason! } : { type: 'ended', how: end.how })
  }

  private onGone (): void {
    if (this.isEnded) return
    this.end(REASONS.endpointGone)
    this.options.onGone()
  }

  private isHere (task: HeldTask): boolean {
    return this.tasks.get(nameOf(task)) === task
  }

  private over (task: HeldTask, over: AttemptOver): void {
    if (!this.isHere(task)) return
    this.tasks.delete(nameOf(task))
    task.onOver(over)
    this.options.onRoom()
  }
}
