import type { Clock, Random } from '@hazellift/common'
import { RUN_ENDS } from '@hazellift/coordination'
import type { PollRequest, PollOutcome, ListedEnd, RunEnd, RunRef, StartOrder, StartOutcome } from '@hazellift/coordination'
import type { Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'

/** What a task does once it runs. */
export interface TaskTruth {
  /** Run time at an endpoint of usual speed, in ms. */
  runMs: number
  fails: boolean
  need: Resources
}

/** What the world knows of runs, over all endpoints. */
export interface RunWatcher {
  truthOf: (run: RunRef) => TaskTruth
  began: (run: RunRef) => void
  ended: (run: RunRef, how: RunEnd, ranMs: number) => void
  overfilled: () => void
}

interface Run extends RunRef {
  truth: TaskTruth
  startedAt: number
  /** Work left, as run time at an endpoint of usual speed. */
  leftMs: number
  /** When `leftMs` was worked out. */
  countedAt: number
  cancel: () => void
}

interface Waiter {
  answer: (outcome: PollOutcome) => void
  cancel: () => void
}

/** Orders that get no answer are carried out after a time between these. */
const LATE_MS = { from: 2000, to: 12_000 }

/** One life of an endpoint. */
export class LabEndpoint {
  /** Orders without an answer. */
  lostShare = 0
  isFailing = false
  isUp = true
  private readonly runs = new Map<string, Run>()
  private readonly endedRuns = new Map<string, number>()
  private ends: ListedEnd[] = []
  private waiters: Waiter[] = []
  private sequence = 0
  private until = 0
  private lapseDue = false
  private slow = 1

  /**
   * @param clock - the world's
   * @param capacity - what it offers
   * @param speed - against usual run times; 1 is usual, 2 twice as fast
   * @param random - decides on lost orders
   * @param watcher - told of every run
   */
  constructor (
    private readonly clock: Clock,
    readonly capacity: Resources,
    private readonly speed: number,
    private readonly random: Random,
    private readonly watcher: RunWatcher
  ) {}

  /** What is not used. */
  get free (): Resources {
    const free = { ...this.capacity }
    for (const { truth: { need } } of this.runs.values()) {
      free.cpuMilli -= need.cpuMilli
      free.memoryMb -= need.memoryMb
    }
    return free
  }

  /** From now on runs take so many times as long; Infinity for standing still. */
  setSlow (slow: number): void {
    for (const run of this.runs.values()) this.count(run)
    this.slow = slow
    for (const run of this.runs.values()) this.schedule(run)
  }

  /** It is gone, and with it all that ran there. */
  crash (): void {
    this.isUp = false
    for (const run of [...this.runs.values()]) this.finish(run, RUN_ENDS.lapsed)
  }

  start (order: StartOrder, sentAt: number, answer: (outcome: StartOutcome) => void): void {
    this.receive(() => this.onStart(order, sentAt), answer)
  }

  stop (run: RunRef, answer: (isStopped: boolean) => void): void {
    this.receive(() => this.onStop(run), answer)
  }

  hold ({ runLeaseMs: holdMs, lastSeen, waitMs }: PollRequest, sentAt: number, answer: (outcome: PollOutcome) => void): void {
    if (!this.isUp || this.random() < this.lostShare) return
    if (holdMs !== undefined) this.holdUntil(sentAt + holdMs)
    this.ends = this.ends.filter(({ seq }) => seq > lastSeen)
    if (waitMs === 0 || this.ends.length > 0) return answer(this.show())
    const waiter: Waiter = { answer, cancel: this.clock.after(waitMs, () => this.tell(waiter)) }
    this.waiters.push(waiter)
  }

  private receive<T> (act: () => T, answer: (outcome: T) => void): void {
    if (!this.isUp) return
    if (this.random() >= this.lostShare) return answer(act())
    const delayMs = LATE_MS.from + this.random() * (LATE_MS.to - LATE_MS.from)
    this.clock.after(delayMs, () => { if (this.isUp) act() })
  }

  private tell (waiter: Waiter): void {
    waiter.cancel()
    this.waiters = this.waiters.filter((other) => other !== waiter)
    waiter.answer(this.show())
  }

  private show (): PollOutcome {
    return { type: 'held', running: [...this.runs.values()].map(({ submission, index, run }) => ({ submission, index, run })), ended: [...this.ends] }
  }

  private onStart ({ submission, index, run, runLeaseMs: holdMs }: StartOrder, sentAt: number): StartOutcome {
    const name = `${submission}.${index}`
    const now = this.clock.now()
    if (run <= (this.endedRuns.get(name) ?? 0)) return { type: 'number_used' }
    if (sentAt + holdMs <= now) return { type: 'refused', reason: REASONS.endpointBusy }
    this.holdUntil(sentAt + holdMs)
    if (this.runs.has(name)) return { type: 'started' }
    const truth = this.watcher.truthOf({ submission, index, run })
    const started: Run = { submission, index, run, truth, startedAt: now, leftMs: truth.runMs, countedAt: now, cancel: () => {} }
    this.runs.set(name, started)
    this.watcher.began(started)
    if (this.free.cpuMilli < 0 || this.free.memoryMb < 0) this.watcher.overfilled()
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

  private count (run: Run): void {
    const now = this.clock.now()
    run.leftMs -= (now - run.countedAt) * this.speed / this.slow
    run.countedAt = now
  }

  private schedule (run: Run): void {
    run.cancel()
    if (this.slow === Infinity) return
    run.cancel = this.clock.after(run.leftMs * this.slow / this.speed, () => {
      this.finish(run, this.isFailing || run.truth.fails ? RUN_ENDS.failed : RUN_ENDS.done)
    })
  }

  private holdUntil (until: number): void {
    this.until = Math.max(this.until, until)
    if (this.lapseDue) return
    this.lapseDue = true
    this.clock.after(this.until - this.clock.now(), () => {
      this.lapseDue = false
      if (this.runs.size === 0) return
      if (this.clock.now() < this.until) return this.holdUntil(this.until)
      for (const run of [...this.runs.values()]) this.finish(run, RUN_ENDS.lapsed)
    })
  }

  private finish (run: Run, how: RunEnd): void {
    const name = `${run.submission}.${run.index}`
    if (this.runs.get(name) !== run) return
    run.cancel()
    this.runs.delete(name)
    this.endedRuns.set(name, Math.max(run.run, this.endedRuns.get(name) ?? 0))
    this.watcher.ended(run, how, this.clock.now() - run.startedAt)
    this.ends.push({ seq: ++this.sequence, submission: run.submission, index: run.index, run: run.run, how })
    for (const waiter of [...this.waiters]) this.tell(waiter)
  }
}
