import type { Clock, Random } from '@hazellift/common'
import { RUN_ENDS } from '@hazellift/coordination'
import type { PollRequest, PollOutcome, ListedEnd, RunEnd, RunRef, StartOrder, StartOutcome } from '@hazellift/coordination'
import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'

/** What a task does once it runs. */
export interface SimulatedTask {
  /** Run time at an endpoint of usual speed, in ms. */
  runMs: number
  fails: boolean
  need: Resources
}

/** What the world knows of runs, over all endpoints. */
export interface RunObserver {
  taskOf: (run: RunRef) => SimulatedTask
  onStarted: (run: RunRef) => void
  onEnded: (run: RunRef, how: RunEnd, ranMs: number) => void
  onOverCapacity: () => void
}

interface Run extends RunRef {
  task: SimulatedTask
  startedAt: number
  /** Work left, as run time at an endpoint of usual speed. */
  remainingMs: number
  /** When `leftMs` was worked out. */
  updatedAt: number
  cancel: () => void
}

interface PendingPoll {
  answer: (outcome: PollOutcome) => void
  cancel: () => void
}

/** Orders that get no answer are carried out after a time between these. */
const LATE_ORDER_DELAY_MS = { from: 2000, to: 12_000 }

/** One life of an endpoint. */
export class LabEndpoint {
  /** Orders without an answer. */
  lostOrderShare = 0
  isFailing = false
  isUp = true
  private readonly runs = new Map<string, Run>()
  private readonly endedRuns = new Map<string, number>()
  private ends: ListedEnd[] = []
  private pendingPolls: PendingPoll[] = []
  private sequence = 0
  private leaseUntil = 0
  private isExpiryScheduled = false
  private slowdown = 1

  /**
   * @param clock - the world's
   * @param capacity - what it offers
   * @param speed - against usual run times; 1 is usual, 2 twice as fast
   * @param random - decides on lost orders
   * @param observer - told of every run
   */
  constructor (
    private readonly clock: Clock,
    readonly capacity: Resources,
    private readonly speed: number,
    private readonly random: Random,
    private readonly observer: RunObserver
  ) {}

  /** What is not used. */
  get free (): Resources {
    const free = { ...this.capacity }
    for (const { task: { need } } of this.runs.values()) {
      free.cpuMilli -= need.cpuMilli
      free.memoryMb -= need.memoryMb
    }
    return free
  }

  /** From now on runs take so many times as long; Infinity for standing still. */
  setSlowdown (slowdown: number): void {
    for (const run of this.runs.values()) this.updateRemaining(run)
    this.slowdown = slowdown
    for (const run of this.runs.values()) this.schedule(run)
  }

  /** It is gone, and with it all that ran there. */
  crash (): void {
    this.isUp = false
    for (const run of [...this.runs.values()]) this.finish(run, RUN_ENDS.lapsed)
  }

  start (order: StartOrder, sentAt: number, answer: (outcome: StartOutcome) => void): void {
    this.handleOrder(() => this.onStart(order, sentAt), answer)
  }

  stop (run: RunRef, answer: (isStopped: boolean) => void): void {
    this.handleOrder(() => this.onStop(run), answer)
  }

  poll ({ runLeaseMs: holdMs, lastSeen, waitMs }: PollRequest, sentAt: number, answer: (outcome: PollOutcome) => void): void {
    if (!this.isUp || this.random() < this.lostOrderShare) return
    if (holdMs !== undefined) this.renewLease(sentAt + holdMs)
    this.ends = this.ends.filter(({ seq }) => seq > lastSeen)
    if (waitMs === 0 || this.ends.length > 0) return answer(this.listRuns())
    const pending: PendingPoll = { answer, cancel: this.clock.after(waitMs, () => this.answerPoll(pending)) }
    this.pendingPolls.push(pending)
  }

  private handleOrder<T> (act: () => T, answer: (outcome: T) => void): void {
    if (!this.isUp) return
    if (this.random() >= this.lostOrderShare) return answer(act())
    const delayMs = LATE_ORDER_DELAY_MS.from + this.random() * (LATE_ORDER_DELAY_MS.to - LATE_ORDER_DELAY_MS.from)
    this.clock.after(delayMs, () => { if (this.isUp) act() })
  }

  private answerPoll (pending: PendingPoll): void {
    pending.cancel()
    this.pendingPolls = this.pendingPolls.filter((other) => other !== pending)
    pending.answer(this.listRuns())
  }

  private listRuns (): PollOutcome {
    return { type: 'listed', running: [...this.runs.values()].map(({ submission, index, run }) => ({ submission, index, run })), ended: [...this.ends] }
  }

  private onStart ({ submission, index, run, runLeaseMs: holdMs }: StartOrder, sentAt: number): StartOutcome {
    const name = `${submission}.${index}`
    const now = this.clock.now()
    if (run <= (this.endedRuns.get(name) ?? 0)) return { type: 'number_used' }
    if (sentAt + holdMs <= now) return { type: 'refused', reason: REASONS.endpointBusy }
    this.renewLease(sentAt + holdMs)
    if (this.runs.has(name)) return { type: 'started' }
    const task = this.observer.taskOf({ submission, index, run })
    const started: Run = { submission, index, run, task: task, startedAt: now, remainingMs: task.runMs, updatedAt: now, cancel: () => {} }
    this.runs.set(name, started)
    this.observer.onStarted(started)
    if (this.free.cpuMilli < 0 || this.free.memoryMb < 0) this.observer.onOverCapacity()
    this.schedule(started)
    return { type: 'started' }
  }

  private onStop ({ submission, index, run }: RunRef): boolean {
    const name = `${submission}.${index}`
    this.endedRuns.set(name, Math.max(run, this.endedRuns.get(name) ?? 0))
    const running = this.runs.get(name)
    if (running !== undefined && running.run <= run) this.finish(running, RUN_ENDS.stopped)
    return true
  }

  private updateRemaining (run: Run): void {
    const now = this.clock.now()
    run.remainingMs -= (now - run.updatedAt) * this.speed / this.slowdown
    run.updatedAt = now
  }

  private schedule (run: Run): void {
    run.cancel()
    if (this.slowdown === Infinity) return
    run.cancel = this.clock.after(run.remainingMs * this.slowdown / this.speed, () => {
      this.finish(run, this.isFailing || run.task.fails ? RUN_ENDS.failed : RUN_ENDS.done)
    })
  }

  private renewLease (until: number): void {
    this.leaseUntil = Math.max(this.leaseUntil, until)
    if (this.isExpiryScheduled) return
    this.isExpiryScheduled = true
    this.clock.after(this.leaseUntil - this.clock.now(), () => {
      this.isExpiryScheduled = false
      if (this.runs.size === 0) return
      if (this.clock.now() < this.leaseUntil) return this.renewLease(this.leaseUntil)
      for (const run of [...this.runs.values()]) this.finish(run, RUN_ENDS.lapsed)
    })
  }

  private finish (run: Run, how: RunEnd): void {
    const name = `${run.submission}.${run.index}`
    if (this.runs.get(name) !== run) return
    run.cancel()
    this.runs.delete(name)
    this.endedRuns.set(name, Math.max(run.run, this.endedRuns.get(name) ?? 0))
    this.observer.onEnded(run, how, this.clock.now() - run.startedAt)
    this.ends.push({ seq: ++this.sequence, submission: run.submission, index: run.index, run: run.run, how })
    for (const pending of [...this.pendingPolls]) this.answerPoll(pending)
  }
}
