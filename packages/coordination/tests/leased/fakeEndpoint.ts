import { REASONS } from '@hazellift/protocol'
import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import { RUN_ENDS } from '../../src/index.js'
import type { PollOutcome, LeasedEndpoint, ListedEnd, RunEnd, RunRef, StartOrder, StartOutcome } from '../../src/index.js'

interface FakeRun extends RunRef {
  cpuMilli: number
  startedAt: number
  endsAt: number
}

/** Fault of one call. */
export type CallFault =
  | 'none'
  /** The call is neither carried out nor answered. */
  | 'lost'
  /** The call is carried out, but not answered. */
  | 'answer_lost'
  /** The call is not answered, and carried out 3 s later. */
  | 'late'

/** What happens to calls of an endpoint that has crashed. */
export type CrashMode =
  /** They never return. */
  | 'hang'
  /** They return without an answer after their time limit. */
  | 'time_out'
  /** Their connections are refused. */
  | 'refuse'

/** Which tasks crash the endpoint that runs them. */
export interface CrashPlan {
  /** Time from the start of a task of this submission until its endpoint crashes; undefined if it does not. */
  crashAfterMs: (submission: string) => number | undefined
  mode: CrashMode
  /** The endpoint crashes before it has answered the start. */
  isBeforeAnswer?: boolean
  /** Called after a task has crashed the endpoint. */
  onCrash: () => void
}

const NO_CRASHES: CrashPlan = { crashAfterMs: () => undefined, mode: 'hang', onCrash: () => {} }

/** When a run took place, as a test checks it. */
export interface RunRecord extends RunRef {
  startedAt: number
  /** Infinity while it runs. */
  endedAt: number
}

const LATE_MS = 3000
/** Time limit of calls, unless a test sets another. */
const CALL_LIMIT_MS = 60
const STEP_MS = 5

/**
 * Simulates one incarnation of an endpoint, with its run lease, run numbers and list
 * of ended runs, on a fake clock. In contrast to a real endpoint it runs no code, ends
 * runs only when `tick` is called, and records starts over its capacity, which it does
 * not refuse.
 */
export class FakeEndpoint implements LeasedEndpoint {
  readonly endedRuns: RunRecord[] = []
  /** The highest CPU use of all concurrent runs so far. */
  peakCpuMilli = 0
  /** The CPU capacity that the agent was last notified of, if a test sets it. */
  announcedCpuMilli = Infinity
  /** Starts that made the runs exceed the announced capacity. */
  readonly startsOverCapacity: string[] = []
  fault: (call: 'start' | 'stop' | 'poll') => CallFault = () => 'none'
  /** Duration of the runs that start from now on. */
  runMs = 100
  /** Runs end as failed. */
  isFailing = false
  /** Only one incarnation can be at an address. */
  address = ''
  /** It takes no connections, and goes on with what runs, as before the end of its process. */
  isPortClosed = false
  crashPlan = NO_CRASHES
  /** Called for each start that is ordered, before it arrives. */
  onOrder: () => void = () => {}
  /** Called for each run that starts, and for each that a crash ends. */
  onRunEvent: (type: 'start' | 'crash', task: string) => void = () => {}
  private readonly running = new Map<string, FakeRun>()
  private readonly highestEndedRun = new Map<string, number>()
  private listedEnds: ListedEnd[] = []
  private seq = 0
  private leaseEndsAt = 0
  private isDown = false

  /** Number of calls so far, by kind. */
  readonly calls = { start: 0, stop: 0, poll: 0 }

  constructor (private readonly clock: Clock, readonly cpuMilliOf: (submission: string) => number, private readonly callLimitMs = CALL_LIMIT_MS) {}

  start = async (order: StartOrder): Promise<StartOutcome> => {
    this.onOrder()
    const outcome = await this.call<StartOutcome>('start', () => this.onStart(order), { type: 'unknown' })
    if (outcome.type !== 'started' || this.crashPlan.isBeforeAnswer !== true || this.crashPlan.crashAfterMs(order.submission) === undefined) return outcome
    if (!this.isDown) this.crashByTask()
    return { type: 'unknown' }
  }

  stop = (run: RunRef): Promise<boolean> => this.call('stop', () => this.onStop(run), false)

  poll: LeasedEndpoint['poll'] = async ({ runLeaseMs, lastSeen, waitMs }) => {
    const leaseEndsAt = runLeaseMs === undefined ? 0 : this.clock.now() + runLeaseMs
    const isAnswered = await this.call('poll', () => {
      this.leaseEndsAt = Math.max(this.leaseEndsAt, leaseEndsAt)
      this.listedEnds = this.listedEnds.filter(({ seq }) => seq > lastSeen)
      return true
    }, false)
    if (this.isDown) return { type: 'unknown', isRefused: this.crashPlan.mode === 'refuse' }
    if (this.isPortClosed) return { type: 'unknown', isRefused: true }
    if (!isAnswered) {
      await this.clock.sleep(waitMs)
      return { type: 'unknown' }
    }
    for (let waited = 0; waited < waitMs && this.listedEnds.length === 0 && !this.isDown; waited += STEP_MS) await this.clock.sleep(STEP_MS)
    // The endpoint may have crashed while the call waited for an end.
    if (this.isDown) return this.callAfterCrash<PollOutcome>('poll', { type: 'unknown' })
    return this.list()
  }

  /** Ends the runs that are due; must be called as time passes. */
  tick (): void {
    for (const run of [...this.running.values()]) {
      if (this.clock.now() > this.leaseEndsAt) this.finish(run, RUN_ENDS.lapsed)
      else if (this.isCrashDue(run)) return this.crashByTask()
      else if (this.clock.now() >= run.endsAt) this.finish(run, this.isFailing ? RUN_ENDS.failed : RUN_ENDS.done)
    }
  }

  /** Ends this incarnation: all runs end, and no call is answered any more. */
  crash (): void {
    for (const run of [...this.running.values()]) {
      this.onRunEvent('crash', `${run.submission}.${run.index}`)
      this.finish(run, RUN_ENDS.lapsed)
    }
    this.isDown = true
  }

  /** The runs that have not ended. */
  get openRuns (): RunRecord[] {
    return [...this.running.values()].map(({ submission, index, run, startedAt }) => ({ submission, index, run, startedAt, endedAt: Infinity }))
  }

  private list (): PollOutcome {
    this.tick()
    return { type: 'listed', running: [...this.running.values()].map(({ submission, index, run }) => ({ submission, index, run })), ended: [...this.listedEnds] }
  }

  private async call<T> (name: 'start' | 'stop' | 'poll', act: () => T, unanswered: T): Promise<T> {
    this.calls[name]++
    // What is due happens before the call arrives: an endpoint that crashes by then carries nothing out.
    this.tick()
    if (this.isDown) return this.callAfterCrash(name, unanswered)
    if (this.isPortClosed) return name === 'start' ? { type: 'refused', reason: REASONS.endpointRefused } as T : unanswered
    const fault = this.fault(name)
    if (fault === 'none') return act()
    if (fault === 'answer_lost') act()
    if (fault === 'late') this.clock.after(LATE_MS, () => { if (!this.isDown) act() })
    await this.clock.sleep(this.callLimitMs)
    return unanswered
  }

  private async callAfterCrash<T> (name: 'start' | 'stop' | 'poll', unanswered: T): Promise<T> {
    if (this.crashPlan.mode === 'hang') return new Promise(() => {})
    if (this.crashPlan.mode === 'time_out') await this.clock.sleep(this.callLimitMs)
    else if (name === 'start') return { type: 'refused', reason: REASONS.endpointRefused } as T
    return unanswered
  }

  private isCrashDue ({ submission, startedAt }: FakeRun): boolean {
    const afterMs = this.crashPlan.crashAfterMs(submission)
    return afterMs !== undefined && this.clock.now() - startedAt >= afterMs
  }

  private crashByTask (): void {
    this.crash()
    this.crashPlan.onCrash()
  }

  private onStart ({ submission, index, run, runLeaseMs }: StartOrder): StartOutcome {
    this.tick()
    const task = `${submission}.${index}`
    if (run <= (this.highestEndedRun.get(task) ?? 0)) return { type: 'number_used' }
    const now = this.clock.now()
    if (now + runLeaseMs < this.clock.now()) return { type: 'refused', reason: REASONS.endpointBusy }
    this.leaseEndsAt = Math.max(this.leaseEndsAt, now + runLeaseMs)
    if (this.running.has(task)) return { type: 'started' }
    this.running.set(task, { submission, index, run, cpuMilli: this.cpuMilliOf(submission), startedAt: now, endsAt: now + this.runMs })
    this.onRunEvent('start', task)
    let usedMilli = 0
    for (const { cpuMilli } of this.running.values()) usedMilli += cpuMilli
    this.peakCpuMilli = Math.max(this.peakCpuMilli, usedMilli)
    if (usedMilli > this.announcedCpuMilli) this.startsOverCapacity.push(`${task}#${run} at ${this.clock.now()}: ${usedMilli} of ${this.announcedCpuMilli}`)
    return { type: 'started' }
  }

  private onStop ({ submission, index, run }: RunRef): boolean {
    this.tick()
    const task = `${submission}.${index}`
    this.highestEndedRun.set(task, Math.max(run, this.highestEndedRun.get(task) ?? 0))
    const running = this.running.get(task)
    if (running !== undefined && running.run <= run) this.finish(running, RUN_ENDS.stopped)
    return true
  }

  private finish (fakeRun: FakeRun, how: RunEnd): void {
    const { submission, index, run, startedAt } = fakeRun
    const task = `${submission}.${index}`
    this.running.delete(task)
    this.highestEndedRun.set(task, Math.max(run, this.highestEndedRun.get(task) ?? 0))
    this.listedEnds.push({ seq: ++this.seq, submission, index, run, how })
    this.endedRuns.push({ submission, index, run, startedAt, endedAt: this.clock.now() })
  }
}

/** Describes each pair of consecutive runs of one task that overlap, at any of the endpoints. */
export const overlappingRuns = (endpoints: FakeEndpoint[]): string[] => {
  const runsByTask = new Map<string, RunRecord[]>()
  for (const run of endpoints.flatMap(({ endedRuns, openRuns }) => [...endedRuns, ...openRuns])) {
    const task = `${run.submission}.${run.index}`
    runsByTask.set(task, [...runsByTask.get(task) ?? [], run])
  }
  return [...runsByTask].flatMap(([task, runs]) => {
    const sorted = [...runs].sort((a, b) => a.startedAt - b.startedAt)
    return sorted.slice(1).flatMap((run, at) => run.startedAt < sorted[at]!.endedAt ? [`${task}: ${sorted[at]!.startedAt}-${sorted[at]!.endedAt} and ${run.startedAt}`] : [])
  })
}

/** Capacity of an endpoint, unless a test sets another. */
export const CAPACITY: Resources = { cpuMilli: 4000, memoryMb: 4000 }
