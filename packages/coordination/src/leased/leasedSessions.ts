import { create } from '@bufbuild/protobuf'
import { SuspensionWatch } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import { REASONS, RevokeSchema } from '@hazellift/protocol'
import type { AgentFrame, EndpointState, EntryFrame, Evacuations, Hello, Reason, TaskKey, TaskResult } from '@hazellift/protocol'
import { isOutdatedHello } from '../session/isOutdatedHello.js'
import type { AgentLink, SessionDispatcher } from '../session/types.js'
import { taskKey } from '../tasks/keys.js'
import { ConfigExchange } from './configExchange.js'
import { EvacuationExchange } from './evacuationExchange.js'
import type { EvacuationOrigin } from './evacuationExchange.js'
import { LeasedAgent } from './leasedAgent.js'
import type { SentRun } from './leasedAgent.js'
import type { LeasedFleet } from './leasedFleet.js'
import { reconcileRuns } from './reconcileRuns.js'
import type { ReconciledRuns } from './reconcileRuns.js'
import { RunTerminations } from './runTerminations.js'
import type { LeaseTimes } from './times.js'

/** Events of an entry's sessions with agents, for logs and metrics. */
export interface LeasedSessionEvents {
  /** What the entry knows of an agent has changed. */
  agentChanged: (agent: LeasedAgent, change: 'session_open' | 'session_closed' | 'endpoint' | 'capacity' | 'leaving') => void
  /** An agent has listed, on a new session, what it has of this entry: `listed` runs, waiting starts and results that are not acknowledged. */
  resumed: (agent: LeasedAgent, listed: number, runs: ReconciledRuns) => void
  /** An agent with tasks of this entry was silent for so long that their runs are confirmed terminated. */
  agentLost: (agentId: string, silentMs: number, tasks: number) => void
  /** An agent sent a newer configuration document than this entry's. */
  configSeen: (version: bigint, document: Uint8Array) => void
  /** The set of evacuated availability zones has changed. */
  evacuationsChanged: (zones: string[], version: bigint, origin: EvacuationOrigin) => void
}

/** Options of LeasedSessions. */
export interface LeasedSessionsOptions {
  clock: Clock
  /** Detects suspensions, which the clock does not count; defaults to a watch of its own. */
  watch?: SuspensionWatch
  times: LeaseTimes
  fleet: LeasedFleet
  events: LeasedSessionEvents
  /** An agent reported how a run ended; it is already removed from `sent`. */
  onResult: (agent: LeasedAgent, sent: SentRun, result: TaskResult) => void
  /** The agent never accepted a start: the task did not run. */
  onNotStarted: (agent: LeasedAgent, sent: SentRun, reason: Reason) => void
  /** A run is confirmed terminated without a result; the task may have run. */
  onLost: (agent: LeasedAgent, sent: SentRun, reason: Reason) => void
  /** Waiting jobs of a service may now find an agent. */
  schedule: (service: string) => void
}

/** Shortest time between frames that only echo a timestamp; echoes are at most this and a keep-alive interval apart. */
const ECHO_INTERVAL_MS = 140

/**
 * An entry's side of its sessions with agents: handles their frames, fills the frames
 * to them, and determines when runs that were sent to an agent are terminated.
 */
export class LeasedSessions implements SessionDispatcher<LeasedAgent> {
  private readonly terminations: RunTerminations
  private readonly config: ConfigExchange
  private readonly evacuations: EvacuationExchange
  private readonly watch: SuspensionWatch
  private hasEndpoint = false

  constructor (private readonly options: LeasedSessionsOptions) {
    const { clock, fleet, events } = options
    this.watch = options.watch ?? new SuspensionWatch(clock)
    this.watch.onSuspended(() => this.endSessions())
    this.terminations = new RunTerminations({
      times: options.times,
      agents: () => fleet.agents.values(),
      onSilent: (agent, silentMs) => this.onSilent(agent, silentMs),
      onGone: (agent) => this.onGone(agent),
      onLost: options.onLost
    })
    this.config = new ConfigExchange({ clock, agents: () => fleet.agents.values(), onNewer: events.configSeen })
    this.evacuations = new EvacuationExchange({
      list: fleet.evacuations, agents: () => fleet.agents.values(), onChange: (origin) => this.onEvacuations(origin)
    })
  }

  /** Number of agents with a session. */
  get connectedAgents (): number {
    let connected = 0
    for (const { link } of this.options.fleet.agents.values()) if (link !== undefined) connected++
    return connected
  }

  /** True once any agent has reported an endpoint. */
  get hasSeenEndpoint (): boolean {
    return this.hasEndpoint
  }

  /** Handles a configuration document that came into force here; some agents store it for other entries. */
  setConfig (version: bigint, document: Uint8Array): void {
    this.config.setConfig(version, document)
  }

  /** Sets whether this entry's document is unconfirmed: the operator's store may hold a newer one than it returned. */
  setConfigUnconfirmed (isUnconfirmed: boolean): void {
    this.config.setUnconfirmed(isUnconfirmed)
  }

  /** Handles the operator's list of evacuated zones. Agents receive it, and through them entries that cannot read the store. */
  setEvacuations (evacuations: Pick<Evacuations, 'version' | 'zones'>): void {
    this.evacuations.set(evacuations)
  }

  /** Availability zones that are evacuated, in ascending order. */
  get evacuatedZones (): string[] {
    return this.options.fleet.evacuations.zones
  }

  /** Ends the runs of agents that were silent for so long that nothing of them runs. To be called a few tens of times a second. */
  sweep (now: number): void {
    this.watch.check()
    this.terminations.sweep(now)
    this.config.sweep(now)
  }

  isOutdated (hello: Hello, stampMs: number, welcomedAt: number): boolean {
    return isOutdatedHello(this.options.fleet.agents.get(hello.agentId), hello, stampMs, welcomedAt)
  }

  open (hello: Hello, link: AgentLink): LeasedAgent {
    const { fleet, clock, events } = this.options
    const known = fleet.agents.get(hello.agentId)
    const isSame = known?.incarnation === hello.incarnation
    if (known !== undefined && !isSame) this.removeAgent(known)
    const agent = known !== undefined && isSame ? known : new LeasedAgent(hello, clock.now())
    fleet.agents.set(agent.agentId, agent)
    agent.connect(link, clock.now())
    events.agentChanged(agent, 'session_open')
    return agent
  }

  closed (agent: LeasedAgent, link: AgentLink): void {
    if (agent.link !== link) return
    agent.disconnect(this.options.clock.now())
    this.options.events.agentChanged(agent, 'session_closed')
  }

  fillFrame (agent: LeasedAgent, frame: EntryFrame): void {
    const { fleet, clock } = this.options
    this.watch.check()
    // Until the agent has listed its tasks, an echo would renew the entry lease of runs that are no longer wanted.
    if (agent.isResumed) frame.echoStampMs = fleet.echoLimits.stampToEcho(agent, clock.now())
    this.config.fillFrame(agent, frame)
    this.evacuations.fillFrame(agent, frame)
    frame.wantingPriority = fleet.demandPriority(agent.service)
    agent.knowsDemand = frame.wantingPriority !== undefined
    agent.echoedAt = clock.now()
  }

  isBusyWith ({ sent }: LeasedAgent): boolean {
    return sent.size > 0
  }

  onFrame (agent: LeasedAgent, link: AgentLink, frame: AgentFrame): void {
    const now = this.options.clock.now()
    this.watch.check()
    // If this process was paused, the time that has passed counts before the frames that arrived in the meantime.
    if (agent.link === link) this.terminations.checkSilence(agent, now)
    if (agent.link !== link) return
    agent.stampMs = frame.stampMs
    agent.latestStampMs = Math.max(agent.latestStampMs, frame.stampMs)
    agent.receivedAt = now
    this.options.fleet.echoLimits.onStamp(agent, now)
    if (frame.slowness > 0) agent.slowness = frame.slowness
    agent.entryCount = Math.max(1, frame.entries)
    this.evacuations.onFrame(agent, frame)
    this.config.onFrame(agent, frame)
    if (frame.endpoint !== undefined) this.onEndpoint(agent, frame)
    else if (frame.leaving) this.onLeaving(agent)
    if (frame.resume !== undefined) this.onResume(agent, link, frame.resume.held, frame.results)
    for (const result of frame.results) this.onResult(agent, result)
    if (frame.room !== undefined) agent.setFreeCapacity(frame.room)
    if (this.isFrameDue(agent, now)) link.add(() => {})
    if (agent.service !== '') this.options.schedule(agent.service)
  }

  /**
   * True if the agent needs a frame now: to renew the entry lease of its runs, or to
   * learn that this entry has no more demand, so that it offers no capacity in vain.
   * Starts need no extra frame, as the frame that carries them renews the lease.
   */
  private isFrameDue ({ sent, echoedAt, knowsDemand, service }: LeasedAgent, now: number): boolean {
    const hasDemandEnded = knowsDemand && this.options.fleet.services.get(service)?.queue.size === 0
    return hasDemandEnded || (sent.size > 0 && now - echoedAt >= ECHO_INTERVAL_MS)
  }

  private onEvacuations (origin: EvacuationOrigin): void {
    const { fleet, events, schedule } = this.options
    events.evacuationsChanged(fleet.evacuations.zones, fleet.evacuations.version, origin)
    // The rate served so far says nothing of the capacity after the change.
    fleet.onEndpointsChanged()
    for (const service of fleet.services.keys()) schedule(service)
  }

  private onEndpoint (agent: LeasedAgent, { endpoint, leaving }: AgentFrame): void {
    const { fleet, events } = this.options
    // A change of capacity alone makes no new endpoint, and its health record stays.
    if (agent.isSameIncarnation(endpoint!)) return this.onCapacity(agent, endpoint!, leaving)
    fleet.healthOf(agent)?.remove(agent.agentId)
    agent.setEndpoint(endpoint!)
    agent.isLeaving = leaving
    events.agentChanged(agent, 'endpoint')
    if (agent.service === '') return
    this.hasEndpoint = true
    fleet.onEndpointsChanged()
    fleet.serviceOf(agent.service).health.add(agent.agentId)
    this.terminations.onEndpointReported(agent)
  }

  private onCapacity (agent: LeasedAgent, endpoint: EndpointState, leaving: boolean): void {
    agent.setEndpoint(endpoint)
    this.options.events.agentChanged(agent, 'capacity')
    if (leaving) this.onLeaving(agent)
  }

  private onLeaving (agent: LeasedAgent): void {
    agent.isLeaving = true
    this.options.events.agentChanged(agent, 'leaving')
  }

  /**
   * Handles what the agent has of this entry. A start that it does not know was never
   * accepted, because the earlier session ended before this one began; a run that is no
   * longer wanted is revoked in the first frame that may renew its entry lease.
   */
  private onResume (agent: LeasedAgent, link: AgentLink, held: TaskKey[], results: TaskResult[]): void {
    const runs = reconcileRuns(agent.sent, held, results)
    this.options.events.resumed(agent, held.length, runs)
    agent.isResumed = true
    for (const { workspace, submission, task, attempt } of runs.unwanted) {
      const revoke = create(RevokeSchema, { workspace, submission, tasks: [task], lastStart: attempt })
      link.add((frame) => { frame.revokes.push(revoke) })
    }
    for (const key of runs.lostStarts) {
      const sent = agent.sent.get(key)!
      agent.sent.delete(key)
      this.options.onNotStarted(agent, sent, REASONS.lostStart)
    }
  }

  private onResult (agent: LeasedAgent, result: TaskResult): void {
    agent.link?.acknowledge(result.seq)
    const key = taskKey(result.key!)
    const sent = agent.sent.get(key)
    if (sent === undefined) return
    agent.sent.delete(key)
    this.options.onResult(agent, sent, result)
  }

  /** Removes an agent process; its runs are tracked until they are confirmed terminated. */
  private removeAgent (agent: LeasedAgent): void {
    const { fleet } = this.options
    agent.link?.close()
    agent.disconnect(this.options.clock.now())
    fleet.agents.delete(agent.agentId)
    fleet.healthOf(agent)?.remove(agent.agentId)
    this.terminations.onReplaced(agent)
  }

  private onSilent (agent: LeasedAgent, silentMs: number): void {
    this.options.events.agentLost(agent.agentId, Math.round(silentMs), agent.sent.size)
    // Another echo on this session would renew the entry lease of runs that end here as terminated.
    this.endSession(agent)
  }

  private onGone (agent: LeasedAgent): void {
    if (agent.link === undefined && this.options.fleet.agents.get(agent.agentId) === agent) this.removeAgent(agent)
  }

  /**
   * Ends all sessions, as this process may have been suspended: it does not know what
   * it missed, for example that callers left, and agents with unverified entry leases
   * must not rely on its echoes. Agents reconnect, and their runs continue under
   * their present entry lease.
   */
  private endSessions (): void {
    for (const agent of this.options.fleet.agents.values()) this.endSession(agent)
  }

  private endSession (agent: LeasedAgent): void {
    const { link } = agent
    // A frame that is already being sent must echo no timestamp.
    agent.stampMs = 0
    if (link === undefined) return
    agent.disconnect(this.options.clock.now())
    link.close()
    this.options.events.agentChanged(agent, 'session_closed')
  }
}
