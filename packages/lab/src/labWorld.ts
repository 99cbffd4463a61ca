import { rendezvousScore } from '@hazellift/common'
import type { Random } from '@hazellift/common'
import { LeasedDispatcher, LeasedHost, LeasedJobs } from '@hazellift/coordination'
import type { LeasedDispatchEvents, LeaseTimes, RunEnd, RunRef } from '@hazellift/coordination'
import { fits } from '@hazellift/decisions'
import type { EntryLocation, Policy, Resources } from '@hazellift/decisions'
import { REASONS } from '@hazellift/protocol'
import { EntryDialer } from '@hazellift/sessions'
import { createLabEndpointClient } from './createLabEndpointClient.js'
import { randomStream } from './draw.js'
import type { SimulatedJob } from './drawJob.js'
import { EventClock } from './eventClock.js'
import { createCounts } from './figures.js'
import type { Counts } from './figures.js'
import { LabEndpoint } from './labEndpoint.js'
import { LabLink } from './labLink.js'
import type { LabAgent, LabEntry } from './labLink.js'
import { LabProcess } from './labProcess.js'
import type { Scenario } from './scenario.js'

/** The lease times of the platform. */
export const LEASE_TIMES: LeaseTimes = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
/** How long an endpoint may wait for the end of a run before it answers a poll. */
const POLL_WAIT_MS = 100
const SWEEP_INTERVAL_MS = 25
/** How often free capacity is sampled while jobs wait. */
const SAMPLE_INTERVAL_MS = 5
const MAX_EJECTED_SHARE = 0.4
/** Time for which a failing endpoint is ejected; it doubles with each ejection in a row. */
const EJECTION_MS = { base: 1000, most: 8000 }
/** Random streams of this module; the kinds of jobs use the numbers from 0 on. */
const RANDOM_STREAMS = { entries: 40, endpoints: 50, dialers: 60, troubles: 62 } as const

/** Name of the availability zone of this number. */
export const zoneName = (zone: number): string => `zone-${zone}`

/** Assigns the items of a list round-robin. */
const roundRobin = <T>(items: readonly T[], index: number): T => items[index % items.length]!

/** An entry of the system with its current process; a killed process gets a successor in the same slot. */
export interface EntrySlot extends LabEntry {
  jobs: LeasedJobs
}

/** An agent of the system with its current process and the current incarnation of its endpoint. */
export interface AgentSlot extends LabAgent {
  index: number
  endpoint: LabEndpoint
}

const NO_EVENTS: LeasedDispatchEvents = {
  ended: () => {}, sent: () => {}, revoked: () => {}, resumed: () => {}, moved: () => {}, requeued: () => {}, suspected: () => {}, result: () => {}, agentChanged: () => {}, agentLost: () => {}, configSeen: () => {}, evacuationsChanged: () => {}
}

/** The simulated system: entries, agents, endpoints and the links between them, on one event clock. */
export class LabWorld {
  readonly clock = new EventClock()
  readonly entries: EntrySlot[]
  readonly agents: AgentSlot[]
  /** By index of the agent, then of the entry. */
  readonly links: LabLink[][]
  readonly counts: Counts = createCounts()
  /** Random stream that selects what troubles affect. */
  readonly random: Random
  private readonly jobs = new Map<string, SimulatedJob>()
  private readonly running = new Map<string, number>()
  private incarnations = 0
  private configVersion = 0n

  constructor (readonly scenario: Scenario, private readonly seed: number, private readonly policy: Policy) {
    this.random = randomStream(seed, RANDOM_STREAMS.troubles)
    this.agents = Array.from({ length: scenario.endpoints.count }, (_, index) => this.newAgent(index, this.newEndpoint(index)))
    this.entries = Array.from({ length: scenario.entries.count }, (_, index) => this.newEntry(index))
    this.links = this.agents.map(({ index: agent }) => this.entries.map((_, entry) => this.newLink(agent, entry)))
    for (const agent of this.agents) this.startDialer(agent)
    this.sampleIdleCapacity()
  }

  /** Adds a job, so that endpoints can look up its tasks. */
  addJob (job: SimulatedJob): void {
    this.jobs.set(job.id, job)
  }

  /** True if an endpoint has free capacity for a task. */
  hasFreeCapacityFor (need: Resources): boolean {
    return this.agents.some(({ endpoint }) => endpoint.isUp && fits(need, endpoint.free))
  }

  /** Kills an entry's process and starts a new one after `downMs`. */
  killEntry (index: number, downMs: number): void {
    const entry = this.entries[index]!
    entry.process.kill()
    for (const links of this.links) links[index]!.reset()
    this.clock.after(downMs, () => { this.entries[index] = this.newEntry(index) })
  }

  /** Kills an agent's process and starts a new one after `downMs`. */
  killAgent (index: number, downMs: number): void {
    const agent = this.agents[index]!
    agent.process.kill()
    for (const link of this.links[index]!) link.reset()
    this.clock.after(downMs, () => {
      this.agents[index] = this.newAgent(index, this.agents[index]!.endpoint)
      this.startDialer(this.agents[index]!)
    })
  }

  /** Crashes an endpoint and starts a new incarnation after `downMs`, or none if it is 0. */
  crashEndpoint (index: number, downMs: number): void {
    const agent = this.agents[index]!
    agent.endpoint.crash()
    if (downMs === 0) return
    this.clock.after(downMs, () => {
      const current = this.agents[index]!
      current.endpoint = this.newEndpoint(index)
      if (current.process.isUp) this.announce(current)
    })
  }

  /** Samples the free share of all capacity while a job waits. */
  private sampleIdleCapacity (): void {
    this.clock.after(SAMPLE_INTERVAL_MS, () => this.sampleIdleCapacity())
    const isWaiting = this.entries.some(({ process, dispatcher }) => process.isUp && dispatcher.waitingJobs > 0)
    if (!isWaiting) return
    const up = this.agents.filter(({ endpoint }) => endpoint.isUp)
    const free = up.reduce((sum, { endpoint }) => sum + Math.max(0, endpoint.free.cpuMilli), 0)
    const all = up.reduce((sum, { endpoint }) => sum + endpoint.capacity.cpuMilli, 0)
    this.counts.waitingSamples++
    this.counts.idleShareSum += free / Math.max(1, all)
  }

  /** Gives a new version of the configuration, of this size, to all entries that are up. */
  changeConfig (bytes: number): void {
    const version = ++this.configVersion
    const document = new Uint8Array(bytes).fill(Number(version))
    for (const { process, dispatcher } of this.entries) if (process.isUp) dispatcher.sessions.setConfig(version, document)
  }

  /** Adds the traffic of all links and the CPU use of all processes to the counts. */
  collectCounts (): void {
    for (const link of this.links.flat()) {
      this.counts.frames += link.frames
      this.counts.bytes += link.bytes
    }
    const meanCores = (processes: LabProcess[]): number => processes.reduce((sum, { cpuMs }) => sum + cpuMs, 0) / processes.length / this.clock.now()
    this.counts.entryCores = meanCores(this.entries.map(({ process }) => process))
    this.counts.agentCores = meanCores(this.agents.map(({ process }) => process))
  }

  private newLink (agent: number, entry: number): LabLink {
    return new LabLink({ clock: this.clock, agent: () => this.agents[agent]!, entry: () => this.entries[entry]!, entryLocations: () => this.entryLocations })
  }

  /** Entries as the store lists them; a row stays while its process is down. */
  private get entryLocations (): EntryLocation[] {
    return this.entries.map(({ zone }, index) => ({ address: String(index), zone }))
  }

  private startDialer ({ process, index, id, zone }: AgentSlot): void {
    const dialer = new EntryDialer({
      clock: process.clock,
      random: randomStream(this.seed + index, RANDOM_STREAMS.dialers),
      zone,
      score: (address) => rendezvousScore(id, address),
      limits: this.scenario.part,
      seeds: [],
      seedIntervalMs: 0,
      dial: (address, handle) => this.links[index]![Number(address)]!.dial(handle)
    })
    dialer.onLookedUp(this.entryLocations)
  }

  private zoneOf (index: number): string {
    return zoneName(index % this.scenario.zones)
  }

  private newEntry (index: number): EntrySlot {
    const { cores, megabits } = this.scenario.entries
    const process = new LabProcess(this.clock, roundRobin(cores, index), megabits === undefined ? Infinity : roundRobin(megabits, index))
    const dispatcher = new LeasedDispatcher({
      clock: process.clock,
      random: randomStream(this.seed + this.incarnations, RANDOM_STREAMS.entries),
      zone: this.zoneOf(index),
      times: LEASE_TIMES,
      events: { ...NO_EVENTS, sent: (_job, _agent, tasks) => { this.counts.starts += tasks.length } },
      maxEjectedShare: MAX_EJECTED_SHARE,
      ejectionBackoff: (times) => Math.min(EJECTION_MS.most, EJECTION_MS.base * 2 ** (times - 1)),
      defer: (fn) => { process.clock.after(0, fn) },
      policy: this.policy
    })
    const sweep = (): void => {
      dispatcher.sweep()
      process.clock.after(SWEEP_INTERVAL_MS, sweep)
    }
    sweep()
    return { process, zone: this.zoneOf(index), incarnation: `entry-${index}-${this.incarnations++}`, dispatcher, jobs: new LeasedJobs(process.clock, dispatcher) }
  }

  private newAgent (index: number, endpoint: LabEndpoint): AgentSlot {
    const process = new LabProcess(this.clock, this.scenario.endpoints.agentCores)
    const host = new LeasedHost({
      clock: process.clock,
      zone: this.zoneOf(index),
      times: LEASE_TIMES,
      pollWaitMs: POLL_WAIT_MS,
      log: () => {},
      observe: ({ reason }) => { if (reason === REASONS.noSlot) this.counts.startsInVain++ },
      offer: this.policy.offer
    })
    const agent: AgentSlot = { process, id: `agent-${index}`, zone: this.zoneOf(index), incarnation: `agent-${index}-${this.incarnations++}`, host, index, endpoint }
    this.announce(agent)
    return agent
  }

  private announce ({ host, process, endpoint, id }: AgentSlot): void {
    if (!endpoint.isUp) return
    host.setEndpoint({
      service: 's',
      incarnation: `${id}-${this.incarnations++}`,
      address: '',
      capacity: endpoint.capacity,
      endpoint: createLabEndpointClient(process, endpoint, () => { this.counts.connections++ })
    })
  }

  private newEndpoint (index: number): LabEndpoint {
    const { sizes, speeds, cpuMilli, memoryMb } = this.scenario.endpoints
    const size = sizes[index % sizes.length]!
    const capacity = { cpuMilli: Math.round(cpuMilli * size), memoryMb: Math.round(memoryMb * size) }
    return new LabEndpoint(this.clock, capacity, speeds[index % speeds.length]!, randomStream(this.seed + 1000 * this.incarnations++, RANDOM_STREAMS.endpoints), {
      taskOf: (run) => this.jobs.get(run.submission)!.tasks[run.index]!,
      onStarted: (run) => this.onStarted(run),
      onEnded: (run, how, ranMs) => this.onEnded(run, how, ranMs),
      onOverCapacity: () => { this.counts.violations.push(`endpoint ${index} is over its capacity at ${this.clock.now()} ms`) }
    })
  }

  private onStarted ({ submission, index }: RunRef): void {
    const name = `${submission}/${index}`
    const runs = (this.running.get(name) ?? 0) + 1
    this.running.set(name, runs)
    if (runs > 1) this.counts.violations.push(`two concurrent runs of task ${name} at ${this.clock.now()} ms`)
  }

  private onEnded ({ submission, index }: RunRef, how: RunEnd, ranMs: number): void {
    const name = `${submission}/${index}`
    this.running.set(name, this.running.get(name)! - 1)
    if (how === 'done') this.counts.tasksDone++
    else this.counts.wasted += ranMs / 1000 * this.jobs.get(submission)!.tasks[index]!.need.cpuMilli / 1000
  }
}
