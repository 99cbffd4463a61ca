import { rendezvousScore } from '@hazellift/common'
import type { Random } from '@hazellift/common'
import { LeasedDispatcher, LeasedHost, LeasedJobs } from '@hazellift/coordination'
import type { LeasedDispatchEvents, LeaseTimes, RunEnd, RunRef } from '@hazellift/coordination'
import { fits } from '@hazellift/decisions'
import type { EntryLocation, Policy, Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import { EntryDialer } from '@hazellift/sessions'
import { createLabCaller } from './createLabCaller.js'
import { sourceOf } from './draw.js'
import { EventClock } from './eventClock.js'
import { newCounts } from './figures.js'
import type { Counts } from './figures.js'
import type { DrawnJob } from './jobDraw.js'
import { LabEndpoint } from './labEndpoint.js'
import { LabLink } from './labLink.js'
import type { LabAgent, LabEntry } from './labLink.js'
import { LabProcess } from './labProcess.js'
import type { Scenario } from './scenario.js'

/** The same chain of times as on the platform. */
export const LEASE_TIMES: LeaseTimes = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
const HOLD_WAIT_MS = 100
const SWEEP_MS = 25
/** How often free room is looked at. */
const LOOK_MS = 5
const SET_ASIDE_SHARE = 0.4
const SET_ASIDE_MS = { base: 1000, most: 8000 }
/** Purposes of random sources; those of the kinds of jobs are the numbers from 0. */
const PURPOSES = { entries: 40, endpoints: 50, dialers: 60, troubles: 62 } as const

/** Name of the availability zone of this number. */
export const zoneName = (zone: number): string => `zone-${zone}`

/** Item of a list that is gone through by turns. */
const turn = <T>(items: readonly T[], index: number): T => items[index % items.length]!

/** A place for an entry's process, with the process that runs there now. */
export interface EntrySlot extends LabEntry {
  jobs: LeasedJobs
}

/** A place for an agent's process beside its endpoint. */
export interface AgentSlot extends LabAgent {
  index: number
  endpoint: LabEndpoint
}

const EVENTS: LeasedDispatchEvents = {
  ended: () => {}, sent: () => {}, moved: () => {}, requeued: () => {}, suspected: () => {}, result: () => {}, agentChanged: () => {}, agentLost: () => {}, configSeen: () => {}, evacuationsChanged: () => {}
}

/** Entries, agents, endpoints and the links between them, on one event clock. */
export class LabWorld {
  readonly clock = new EventClock()
  readonly entries: EntrySlot[]
  readonly agents: AgentSlot[]
  /** By agent and entry. */
  readonly links: LabLink[][]
  readonly counts: Counts = newCounts()
  /** Draws what troubles meet. */
  readonly random: Random
  private readonly jobs = new Map<string, DrawnJob>()
  private readonly running = new Map<string, number>()
  private lives = 0
  private configVersion = 0n

  constructor (readonly scenario: Scenario, private readonly seed: number, private readonly policy: Policy) {
    this.random = sourceOf(seed, PURPOSES.troubles)
    this.agents = Array.from({ length: scenario.endpoints.count }, (_, index) => this.newAgent(index, this.newEndpoint(index)))
    this.entries = Array.from({ length: scenario.entries.count }, (_, index) => this.newEntry(index))
    this.links = this.agents.map(({ index: agent }) => this.entries.map((_, entry) => this.newLink(agent, entry)))
    for (const agent of this.agents) this.startDialer(agent)
    this.look()
  }

  /** What the world knows of a job from now on. */
  know (job: DrawnJob): void {
    this.jobs.set(job.id, job)
  }

  /** True if an endpoint has room for a task. */
  hasRoomFor (need: Resources): boolean {
    return this.agents.some(({ endpoint }) => endpoint.isUp && fits(need, endpoint.free))
  }

  /** The process ends, and another one begins after a while. */
  killEntry (index: number, downMs: number): void {
    const entry = this.entries[index]!
    entry.process.kill()
    for (const links of this.links) links[index]!.reset()
    this.clock.after(downMs, () => { this.entries[index] = this.newEntry(index) })
  }

  /** The process ends, and another one begins after a while. */
  killAgent (index: number, downMs: number): void {
    const agent = this.agents[index]!
    agent.process.kill()
    for (const link of this.links[index]!) link.reset()
    this.clock.after(downMs, () => {
      this.agents[index] = this.newAgent(index, this.agents[index]!.endpoint)
      this.startDialer(this.agents[index]!)
    })
  }

  /** The endpoint crashes; another life begins after a while, or never. */
  loseEndpoint (index: number, downMs: number): void {
    const agent = this.agents[index]!
    agent.endpoint.crash()
    if (downMs === 0) return
    this.clock.after(downMs, () => {
      const now = this.agents[index]!
      now.endpoint = this.newEndpoint(index)
      if (now.process.isUp) this.announce(now)
    })
  }

  /** Counts room that is free while a job waits. */
  private look (): void {
    this.clock.after(LOOK_MS, () => this.look())
    const isWaiting = this.entries.some(({ process, dispatcher }) => process.isUp && dispatcher.waitingJobs > 0)
    if (!isWaiting) return
    const sound = this.agents.filter(({ endpoint }) => endpoint.isUp)
    const free = sound.reduce((sum, { endpoint }) => sum + Math.max(0, endpoint.free.cpuMilli), 0)
    const all = sound.reduce((sum, { endpoint }) => sum + endpoint.capacity.cpuMilli, 0)
    this.counts.looksWaiting++
    this.counts.idleSum += free / Math.max(1, all)
  }

  /** A new version of the configuration is read by all entries that live. */
  changeConfig (bytes: number): void {
    const version = ++this.configVersion
    const document = new Uint8Array(bytes).fill(Number(version))
    for (const { process, dispatcher } of this.entries) if (process.isUp) dispatcher.sessions.setConfig(version, document)
  }

  /** Sums up what links carried and what processes worked. */
  countUp (): void {
    for (const link of this.links.flat()) {
      this.counts.frames += link.frames
      this.counts.bytes += link.bytes
    }
    const meanCores = (processes: LabProcess[]): number => processes.reduce((sum, { workedMs }) => sum + workedMs, 0) / processes.length / this.clock.now()
    this.counts.entryCores = meanCores(this.entries.map(({ process }) => process))
    this.counts.agentCores = meanCores(this.agents.map(({ process }) => process))
  }

  private newLink (agent: number, entry: number): LabLink {
    return new LabLink({ world: this.clock, agent: () => this.agents[agent]!, entry: () => this.entries[entry]!, listed: () => this.places })
  }

  /** The rows of entries stay in the store while their processes are away. */
  private get places (): EntryLocation[] {
    return this.entries.map(({ zone }, index) => ({ address: String(index), zone }))
  }

  private startDialer ({ process, index, id, zone }: AgentSlot): void {
    const dialer = new EntryDialer({
      clock: process.clock,
      random: sourceOf(this.seed + index, PURPOSES.dialers),
      zone,
      score: (address) => rendezvousScore(id, address),
      limits: this.scenario.part,
      seeds: [],
      seedIntervalMs: 0,
      dial: (address, handle) => this.links[index]![Number(address)]!.dial(handle)
    })
    dialer.onLookedUp(this.places)
  }

  private zoneOf (index: number): string {
    return zoneName(index % this.scenario.zones)
  }

  private newEntry (index: number): EntrySlot {
    const { cores, megabits } = this.scenario.entries
    const process = new LabProcess(this.clock, turn(cores, index), megabits === undefined ? Infinity : turn(megabits, index))
    const dispatcher = new LeasedDispatcher({
      clock: process.clock,
      random: sourceOf(this.seed + this.lives, PURPOSES.entries),
      zone: this.zoneOf(index),
      times: LEASE_TIMES,
      events: { ...EVENTS, sent: (_job, _agent, tasks) => { this.counts.starts += tasks.length } },
      maxEjectedShare: SET_ASIDE_SHARE,
      ejectionBackoff: (times) => Math.min(SET_ASIDE_MS.most, SET_ASIDE_MS.base * 2 ** (times - 1)),
      defer: (fn) => { process.clock.after(0, fn) },
      policy: this.policy
    })
    const sweep = (): void => {
      dispatcher.sweep()
      process.clock.after(SWEEP_MS, sweep)
    }
    sweep()
    return { process, zone: this.zoneOf(index), incarnation: `entry-${index}-${this.lives++}`, dispatcher, jobs: new LeasedJobs(process.clock, dispatcher) }
  }

  private newAgent (index: number, endpoint: LabEndpoint): AgentSlot {
    const process = new LabProcess(this.clock, this.scenario.endpoints.agentCores)
    const host = new LeasedHost({
      clock: process.clock,
      zone: this.zoneOf(index),
      times: LEASE_TIMES,
      pollWaitMs: HOLD_WAIT_MS,
      log: () => {},
      observe: ({ reason }) => { if (reason === REASONS.noSlot) this.counts.startsInVain++ },
      offer: this.policy.offer
    })
    const agent: AgentSlot = { process, id: `agent-${index}`, zone: this.zoneOf(index), incarnation: `agent-${index}-${this.lives++}`, host, index, endpoint }
    this.announce(agent)
    return agent
  }

  private announce ({ host, process, endpoint, id }: AgentSlot): void {
    if (!endpoint.isUp) return
    host.setEndpoint({
      service: 's',
      incarnation: `${id}-${this.lives++}`,
      address: '',
      capacity: endpoint.capacity,
      endpoint: createLabCaller(process, endpoint, () => { this.counts.connections++ })
    })
  }

  private newEndpoint (index: number): LabEndpoint {
    const { sizes, speeds, cpuMilli, memoryMb } = this.scenario.endpoints
    const size = sizes[index % sizes.length]!
    const capacity = { cpuMilli: Math.round(cpuMilli * size), memoryMb: Math.round(memoryMb * size) }
    return new LabEndpoint(this.clock, capacity, speeds[index % speeds.length]!, sourceOf(this.seed + 1000 * this.lives++, PURPOSES.endpoints), {
      truthOf: (run) => this.jobs.get(run.submission)!.tasks[run.index]!,
      began: (run) => this.onBegan(run),
      ended: (run, how, ranMs) => this.onEnded(run, how, ranMs),
      overfilled: () => { this.counts.violations.push(`endpoint ${index} over its capacity at ${this.clock.now()}`) }
    })
  }

  private onBegan ({ submission, index }: RunRef): void {
    const name = `${submission}/${index}`
    const runs = (this.running.get(name) ?? 0) + 1
    this.running.set(name, runs)
    if (runs > 1) this.counts.violations.push(`two runs of ${name} at ${this.clock.now()}`)
  }

  private onEnded ({ submission, index }: RunRef, how: RunEnd, ranMs: number): void {
    const name = `${submission}/${index}`
    this.running.set(name, this.running.get(name)! - 1)
    if (how === 'done') this.counts.tasksDone++
    else this.counts.wasted += ranMs / 1000 * this.jobs.get(submission)!.tasks[index]!.need.cpuMilli / 1000
  }
}
