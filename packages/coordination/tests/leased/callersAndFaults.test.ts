import { seededRandom } from '@hazellift/common'
import type { Random } from '@hazellift/common'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import type { CallFault } from './fakeEndpoint.js'
import { LEASE_TIMES, LeasedNetwork } from './leasedNetwork.js'

const SERIES = 120
const ENTRIES = 2
const AGENTS = 3
const MAX_JOBS = 12
/** Time in which all sessions open. */
const JOIN_MS = 400
/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
const SERIES_MS = 6000
const MAX_STEP_MS = 150
const CALL_FAULT_MS = 500
const CALL_FAULTS: readonly CallFault[] = ['lost', 'answer_lost', 'late']

interface Caller {
  id: string
  entry: number
  leave: () => void
}

/** Random callers and faults of a network, all drawn from one seed. */
class Series {
  readonly network: LeasedNetwork
  /** What was done, for the message of a failure. */
  readonly log: string[] = []
  private readonly random: Random
  private readonly runMs: number
  private readonly callers: Caller[] = []
  private readonly resubmissions: Array<{ at: number, id: string }> = []
  private readonly pendingEnds: Array<{ at: number, end: () => void }> = []
  private jobCount = 0

  constructor (seed: number) {
    this.random = seededRandom(seed)
    const bootClock = this.random() < 0.5 ? 'unavailable' : 'counts_suspensions'
    this.network = new LeasedNetwork(ENTRIES, AGENTS, LEASE_TIMES, { cpuMilli: 8000, memoryMb: 8000 }, () => 'z', bootClock)
    this.network.mergesFrames = true
    this.runMs = 400 + this.below(3000)
  }

  async run (): Promise<void> {
    await this.network.advance(JOIN_MS)
    this.setRunMs()
    const until = this.network.clock.now() + SERIES_MS
    while (this.network.clock.now() < until) {
      if (this.random() < 0.3) this.submitNew()
      if (this.random() < 0.35) this.faults[this.below(this.faults.length)]!()
      this.endDueFaults(this.network.clock.now())
      this.resubmitDue()
      await this.network.advance(5 * (1 + this.below(MAX_STEP_MS / 5)))
    }
    this.endDueFaults(Infinity)
    await this.network.advance(this.runMs + 3000)
  }

  private readonly faults: Array<() => void> = [
    () => { if (this.callers.length > 0) this.leave(this.callers[this.below(this.callers.length)]!) },
    () => this.leaveAsSent(),
    () => this.reset(),
    () => this.onLink('silence', 500, (agent, entry, isOn) => {
      this.network.cut(agent, entry, isOn)
      if (!isOn) this.network.dropOne(agent, entry)
    }),
    () => this.onLink('cut', 1500, (agent, entry, isOn) => this.network.cut(agent, entry, isOn)),
    () => this.onLink('block', 600, (agent, entry, isOn) => this.network.block(agent, entry, isOn)),
    () => this.killAgent(),
    () => this.killEntry(),
    () => this.pause('freeze', this.network.agents[this.below(AGENTS)]!, 1500),
    // The callers of a paused entry stay: that it learns late of those that go is for the check of their sockets.
    () => this.pause('freeze', this.network.entries[this.below(ENTRIES)]!, 600),
    () => this.pause('suspend', this.network.agents[this.below(AGENTS)]!, 1500),
    () => this.pause('suspend', this.network.entries[this.below(ENTRIES)]!, 600),
    () => this.failCalls(),
    () => this.restartEndpoint()
  ]

  private below (limit: number): number {
    return Math.floor(this.random() * limit)
  }

  private note (text: string): void {
    this.log.push(`${this.network.clock.now()} ${text}`)
  }

  /** Sets the duration of the runs that start from now on; endpoints of processes that began anew have another one. */
  private setRunMs (): void {
    for (const endpoint of this.network.endpoints) endpoint.runMs = this.runMs
  }

  private submitNew (): void {
    if (this.jobCount < MAX_JOBS) this.submit(`j${this.jobCount++}`, this.below(ENTRIES))
  }

  private submit (id: string, entry: number): Caller {
    this.note(`submit ${id} at ${entry}`)
    const { leave } = this.network.submit(entry, id, 1 + this.below(2), { estimateMs: this.runMs })
    const caller = { id, entry, leave }
    this.callers.push(caller)
    return caller
  }

  /** A caller's connection breaks; it submits the job again later, at any entry. */
  private leave (caller: Caller): void {
    this.note(`leave ${caller.id} at ${caller.entry}`)
    caller.leave()
    this.resubmitLater(caller)
  }

  private resubmitLater (caller: Caller): void {
    this.callers.splice(this.callers.indexOf(caller), 1)
    this.resubmissions.push({ at: this.network.clock.now() + RESUBMIT_MS, id: caller.id })
  }

  private resubmitDue (): void {
    for (const due of this.resubmissions.filter(({ at }) => at <= this.network.clock.now())) {
      const entry = this.below(ENTRIES)
      if (this.network.entries[entry]!.process.isPaused) continue
      this.resubmissions.splice(this.resubmissions.indexOf(due), 1)
      this.submit(due.id, entry)
    }
  }

  /** A caller leaves after the starts of its job were put into frames, and before these are sent. */
  private leaveAsSent (): void {
    if (this.jobCount >= MAX_JOBS) return
    const caller = this.submit(`j${this.jobCount++}`, this.below(ENTRIES))
    this.network.onSent = () => {
      this.network.onSent = () => {}
      queueMicrotask(() => { if (this.callers.includes(caller)) this.leave(caller) })
    }
  }

  /** Resets all connections of an entry, to agents and most callers, in either order. */
  private reset (): void {
    const entry = this.below(ENTRIES)
    this.note(`reset ${entry}`)
    const areSessionsFirst = this.random() < 0.5
    if (areSessionsFirst) this.network.resetConnections(entry)
    for (const caller of this.callers.filter((other) => other.entry === entry)) if (this.random() < 0.7) this.leave(caller)
    if (!areSessionsFirst) this.network.resetConnections(entry)
  }

  private onLink (name: string, maxMs: number, act: (agent: number, entry: number, isOn: boolean) => void): void {
    const agent = this.below(AGENTS)
    const entry = this.below(ENTRIES)
    const ms = this.below(maxMs)
    this.note(`${name} agent ${agent} entry ${entry} for ${ms}`)
    act(agent, entry, true)
    this.pendingEnds.push({ at: this.network.clock.now() + ms, end: () => act(agent, entry, false) })
  }

  private killAgent (): void {
    const agent = this.below(AGENTS)
    this.note(`kill agent ${agent}`)
    this.network.killAgent(agent)
    this.setRunMs()
  }

  private killEntry (): void {
    const entry = this.below(ENTRIES)
    this.note(`kill entry ${entry}`)
    for (const caller of this.callers.filter((other) => other.entry === entry)) this.resubmitLater(caller)
    this.network.killEntry(entry)
  }

  private pause (kind: 'freeze' | 'suspend', { incarnation, process }: LeasedNetwork['agents'][number] | LeasedNetwork['entries'][number], maxMs: number): void {
    const ms = 50 + this.below(maxMs)
    this.note(`${kind} ${incarnation} for ${ms}`)
    process[kind](ms)
  }

  private failCalls (): void {
    const { endpoint } = this.network.agents[this.below(AGENTS)]!
    const fault = CALL_FAULTS[this.below(CALL_FAULTS.length)]!
    const share = 0.05 + this.random() * 0.25
    this.note(`calls ${fault} ${share.toFixed(2)}`)
    endpoint.fault = () => this.random() < share ? fault : 'none'
    this.pendingEnds.push({ at: this.network.clock.now() + CALL_FAULT_MS, end: () => { endpoint.fault = () => 'none' } })
  }

  private restartEndpoint (): void {
    const agent = this.below(AGENTS)
    this.note(`restart endpoint ${agent}`)
    this.network.restartEndpoint(agent)
    this.setRunMs()
  }

  private endDueFaults (now: number): void {
    for (const due of this.pendingEnds.filter(({ at }) => at <= now)) {
      this.pendingEnds.splice(this.pendingEnds.indexOf(due), 1)
      due.end()
    }
  }
}

describe('callers that leave and submit again, in random series of faults', () => {
  it('no two runs of a task overlap', async () => {
    const failures: string[] = []
    for (let seed = 0; seed < SERIES; seed++) {
      const series = new Series(seed)
      await series.run()
      const overlaps = overlappingRuns(series.network.endpoints)
      if (overlaps.length > 0) failures.push(`seed ${seed}: ${overlaps.join('; ')}\n${series.log.join('\n')}`)
    }
    expect(failures).toEqual([])
  })
})
