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

/** What an endpoint does with a call. */
export type CallFault =
  | 'none'
  /** Nothing is done, and nothing answered. */
  | 'lost'
  /** It is done, and not answered. */
  | 'answer_lost'
  /** Not answered, and done 3 s later. */
  | 'late'

/** What calls of an endpoint that has crashed meet. */
export type CrashMode =
  /** Nothing, for good. */
  | 'stuck'
  /** Nothing within their limits. */
  | 'silent'
  /** Their connections are refused. */
  | 'refused'

/** What tasks do to the endpoint that starts them. */
export interface Poison {
  /** Time from its start until a task crashes its endpoint; undefined for harmless ones. */
  crashAfterMs: (submission: string) => number | undefined
  down: CrashMode
  /** The endpoint has crashed. */
  onCrash: () => void
}

const NO_POISON: Poison = { crashAfterMs: () => undefined, down: 'stuck', onCrash: () => {} }

/** A run as it happened, for checks. */
export interface RunRecord extends RunRef {
  startedAt: number
  endedAt: number
}

const LATE_MS = 3000
/** A caller's time limit, unless a test says otherwise. */
const CALL_LIMIT_MS = 60
const STEP_MS = 5

/** An endpoint with leases, run numbers and a list of ends, on a fake clock. */
export class FakeEndpoint implements LeasedEndpoint {
  readonly endedRuns: RunRecord[] = []
  /** Most of the capacity ever in use. */
  peakCpuMilli = 0
  /** What it has last told that it has, if a test says so; in thousandths of a core. */
  announcedCpuMilli = Infinity
  /** Starts that brought what runs over that. */
  readonly startsOverCapacity: string[] = []
  fault: (call: 'start' | 'stop' | 'hold') => CallFault = () => 'none'
  /** How long the next runs take. */
  runMs = 100
  isFailing = false
  poison = NO_POISON
  /** Told of each run that begins, and of each that a crash ends. */
  onRun: (what: 'start' | 'crash', name: string) => void = () => {}
  private readonly running = new Map<string, FakeRun>()
  private readonly highestEndedRun = new Map<string, number>()
  private listedEnds: ListedEnd[] = []
  private seq = 0
  private leaseEndsAt = 0
  private isDown = false

  /** Calls so far, by kind. */
  readonly calls = { start: 0, stop: 0, poll: 0 }

  constructor (private readonly clock: Clock, readonly cpuMilliOf: (submission: string) => number, private readonly callLimitMs = CALL_LIMIT_MS) {}

  start = (order: StartOrder): Promise<StartOutcome> => this.call('start', () => this.onStart(order), { type: 'unknown' })
  stop = (run: RunRef): Promise<boolean> => this.call('stop', () => this.onStop(run), false)

  poll: LeasedEndpoint['poll'] = async ({ runLeaseMs: holdMs, lastSeen, waitMs }) => {
    const until = holdMs === undefined ? 0 : this.clock.now() + holdMs
    const isSeen = await this.call('hold', () => {
      this.leaseEndsAt = Math.max(this.leaseEndsAt, until)
      this.listedEnds = this.listedEnds.filter(({ seq }) => seq > lastSeen)
      return true
    }, false)
    if (this.isDown) return { type: 'unknown', isRefused: this.poison.down === 'refused' }
    if (!isSeen) {
      await this.clock.sleep(waitMs)
      return { type: 'unknown' }
    }
    for (let waited = 0; waited < waitMs && this.listedEnds.length === 0 && !this.isDown; waited += STEP_MS) await this.clock.sleep(STEP_MS)
    // The answer of one that has crashed meanwhile never comes.
    if (this.isDown) return this.callDown<PollOutcome>('hold', { type: 'unknown' })
    return this.show()
  }

  /** Ends what is due; to be called as time passes. */
  tick (): void {
    for (const run of [...this.running.values()]) {
      if (this.clock.now() > this.leaseEndsAt) this.finish(run, RUN_ENDS.lapsed)
      else if (this.isPoisoned(run)) return this.crashByItself()
      else if (this.clock.now() >= run.endsAt) this.finish(run, this.isFailing ? RUN_ENDS.failed : RUN_ENDS.done)
    }
  }

  /** Its life is over: nothing runs, and no call is answered any more. */
  crash (): void {
    for (const run of [...this.running.values()]) {
      this.onRun('crash', `${run.submission}.${run.index}`)
      this.finish(run, RUN_ENDS.lapsed)
    }
    this.isDown = true
  }

  /** Everything that is running, as past runs that go on. */
  get openRuns (): RunRecord[] {
    return [...this.running.values()].map(({ submission, index, run, startedAt }) => ({ submission, index, run, from: startedAt, to: Infinity }))
  }

  private show (): PollOutcome {
    this.tick()
    return { type: 'held', running: [...this.running.values()].map(({ submission, index, run }) => ({ submission, index, run })), ended: [...this.listedEnds] }
  }

  private async call<T> (name: 'start' | 'stop' | 'hold', act: () => T, unanswered: T): Promise<T> {
    this.calls[name]++
    if (this.isDown) return this.callDown(name, unanswered)
    const fault = this.fault(name)
    if (fault === 'none') return act()
    if (fault === 'answer_lost') act()
    if (fault === 'late') this.clock.after(LATE_MS, () => { if (!this.isDown) act() })
    await this.clock.sleep(this.callLimitMs)
    return unanswered
  }

  private async callDown<T> (name: 'start' | 'stop' | 'hold', unanswered: T): Promise<T> {
    if (this.poison.down === 'stuck') return new Promise(() => {})
    if (this.poison.down === 'silent') await this.clock.sleep(this.callLimitMs)
    else if (name === 'start') return { type: 'refused', reason: REASONS.endpointRefused } as T
    return unanswered
  }

  private isPoisoned ({ submission, startedAt }: FakeRun): boolean {
    const afterMs = this.poison.crashAfterMs(submission)
    return afterMs !== undefined && this.clock.now() - startedAt >= afterMs
  }

  private crashByItself (): void {
    this.crash()
    this.poison.onCrash()
  }

  private onStart ({ submission, index, run, runLeaseMs: holdMs }: StartOrder): StartOutcome {
    this.tick()
    const name = `${submission}.${index}`
    if (run <= (this.highestEndedRun.get(name) ?? 0)) return { type: 'number_used' }
    const sentAt = this.clock.now()
    if (sentAt + holdMs < this.clock.now()) return { type: 'refused', reason: REASONS.endpointBusy }
    this.leaseEndsAt = Math.max(this.leaseEndsAt, sentAt + holdMs)
    if (this.running.has(name)) return { type: 'started' }
    this.running.set(name, { submission, index, run, cpuMilli: this.cpuMilliOf(submission), startedAt: sentAt, endsAt: sentAt + this.runMs })
    this.onRun('start', name)
    let cpu = 0
    for (const { cpuMilli } of this.running.values()) cpu += cpuMilli
    this.peakCpuMilli = Math.max(this.peakCpuMilli, cpu)
    if (cpu > this.announcedCpuMilli) this.startsOverCapacity.push(`${name}#${run} at ${this.clock.now()}: ${cpu} of ${this.announcedCpuMilli}`)
    return { type: 'started' }
  }

  private onStop ({ submission, index, run }: RunRef): boolean {
    this.tick()
    const name = `${submission}.${index}`
    this.highestEndedRun.set(name, Math.max(run, this.highestEndedRun.get(name) ?? 0))
    const running = this.running.get(name)
    if (running !== undefined && running.run <= run) this.finish(running, RUN_ENDS.stopped)
    return true
  }

  private finish (run: FakeRun, how: RunEnd): void {
    const { submission, index, run: number, startedAt } = run
    const name = `${submission}.${index}`
    this.running.delete(name)
    this.highestEndedRun.set(name, Math.max(number, this.highestEndedRun.get(name) ?? 0))
    this.listedEnds.push({ seq: ++this.seq, submission, index, run: number, how })
    this.endedRuns.push({ submission, index, run: number, startedAt: startedAt, endedAt: this.clock.now() })
  }
}

/** Runs of one task that overlap, over all endpoints. */
export const overlappingRuns = (endpoints: FakeEndpoint[]): string[] => {
  const byTask = new Map<string, RunRecord[]>()
  for (const run of endpoints.flatMap(({ endedRuns: past, openRuns: open }) => [...past, ...open])) {
    const name = `${run.submission}.${run.index}`
    byTask.set(name, [...byTask.get(name) ?? [], run])
  }
  return [...byTask].flatMap(([name, runs]) => {
    const sorted = [...runs].sort((a, b) => a.startedAt - b.startedAt)
    return sorted.slice(1).flatMap((run, at) => run.startedAt < sorted[at]!.endedAt ? [`${name}: ${sorted[at]!.startedAt}-${sorted[at]!.endedAt} and ${run.startedAt}`] : [])
  })
}

/** What an endpoint of these tests offers. */
export const CAPACITY: Resources = { cpuMilli: 4000, memoryMb: 4000 }
