import { SuspensionWatch } from '@hazellift/common'
import type { Clock } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import type { AgentFrame, EndpointState, EntryFrame, Evacuations, Hello, Reason, TaskResult } from '@hazellift/protocol'
import type { AgentLink, SessionDispatcher } from '../session/types.js'
import { taskKey } from '../tasks/keys.js'
import { ConfigExchange } from './configExchange.js'
import { EvacuationExchange } from './evacuationExchange.js'
import type { EvacuationOrigin } from './evacuationExchange.js'
import { LeasedAgent } from './leasedAgent.js'
import type { SentRun } from './leasedAgent.js'
import type { LeasedFleet } from './leasedFleet.js'
import { terminationBoundMs } from './times.js'
import type { LeaseTimes } from './times.js'

/** What sessions tell their owner, for logs and metrics. */
export interface LeasedSessionEvents {
  agentChanged: (agent: LeasedAgent, change: 'session_open' | 'session_closed' | 'endpoint' | 'capacity' | 'leaving') => void
  agentLost: (agentId: string, silentMs: number, tasks: number) => void
  /** An agent holds a newer configuration document than this entry. */
  configSeen: (version: bigint, document: Uint8Array) => void
  /** Other availability zones are evacuated than before. */
  evacuationsChanged: (zones: string[], version: bigint, origin: EvacuationOrigin) => void
}

/** What sessions with agents need. */
export interface LeasedSessionsOptions {
  clock: Clock
  /** Notices what the clock has not counted; one of its own if unset. */
  watch?: SuspensionWatch
  times: LeaseTimes
  fleet: LeasedFleet
  events: LeasedSessionEvents
  /** An agent told how a run ended; it is in `sent` no more. */
  onResult: (agent: LeasedAgent, sent: SentRun, result: TaskResult) => void
  /** A start was never accepted. */
  onNotStarted: (agent: LeasedAgent, sent: SentRun, reason: Reason) => void
  /** A run is proved to be over, with whatever it had done. */
  onLost: (agent: LeasedAgent, sent: SentRun, reason: Reason) => void
  /** An agent has told something that may let work of its service go. */
  schedule: (service: string) => void
}

/** Frames of an agent are echoed no more often than this; at most so long and a keep-alive lie between two echoes. */
const ECHO_PACE_MS = 140

/**
 * An entry's side of its sessions with agents: what they tell, what they are
 * told, and when what was sent to one of them is over.
 */
export class LeasedSessions implements SessionDispatcher<LeasedAgent> {
  /** Processes of agents that another one has replaced, until their orders are over. */
  private readonly replaced = new Set<LeasedAgent>()
  private readonly config: ConfigExchange
  private readonly evacuations: EvacuationExchange
  private readonly watch: SuspensionWatch
  private hasEndpoints = false

  constructor (private readonly options: LeasedSessionsOptions) {
    const { clock, fleet, events } = options
    this.watch = options.watch ?? new SuspensionWatch(clock)
    this.watch.onSuspended(() => this.endSessions())
    this.config = new ConfigExchange({ clock, agents: () => fleet.agents.values(), onNewer: events.configSeen })
    this.evacuations = new EvacuationExchange({
      list: fleet.evacuations, agents: () => fleet.agents.values(), onChange: (origin) => this.onEvacuations(origin)
    })
  }

  /** Agents with a session. */
  get connectedAgents (): number {
    let connected = 0
    for (const { link } of this.options.fleet.agents.values()) if (link !== undefined) connected++
    return connected
  }

  /** True once any endpoint was heard of. */
  get hasSeenEndpoint (): boolean {
    return this.hasEndpoints
  }

  /** A configuration document came into force here; some agents keep it for other entries. */
  setConfig (version: bigint, document: Uint8Array): void {
    this.config.setConfig(version, document)
  }

  /** The operator's store may hold a newer document than it showed this entry. */
  setConfigUnconfirmed (isDoubted: boolean): void {
    this.config.setUnconfirmed(isDoubted)
  }

  /** The operator's list of evacuated zones was read; agents hear of it, and those without a store through them. */
  setEvacuations (evacuations: Pick<Evacuations, 'version' | 'zones'>): void {
    this.evacuations.set(evacuations)
  }

  /** Zones that are evacuated now. */
  get evacuatedZones (): string[] {
    return this.options.fleet.evacuations.zones
  }

  /** Ends what was sent to agents that have been silent for so long that nothing of it runs. */
  sweep (now: number): void {
    this.watch.look()
    for (const agent of [...this.options.fleet.agents.values(), ...this.replaced]) this.checkLost(agent, now)
    this.config.sweep(now)
  }

  open (hello: Hello, link: AgentLink): LeasedAgent {
    const { fleet, clock, events } = this.options
    const known = fleet.agents.get(hello.agentId)
    const isSame = known?.incarnation === hello.incarnation
    if (known !== undefined && !isSame) this.replace(known)
    const agent = known !== undefined && isSame ? known : new LeasedAgent(hello)
    fleet.agents.set(agent.agentId, agent)
    agent.connect(link, clock.now())
    events.agentChanged(agent, 'session_open')
    return agent
  }

  closed (agent: LeasedAgent, link: AgentLink): void {
    if (agent.link !== link) return
    agent.link = undefined
    this.options.events.agentChanged(agent, 'session_closed')
  }

  fillFrame (agent: LeasedAgent, frame: EntryFrame): void {
    const { fleet, clock } = this.options
    this.watch.look()
    frame.echoStampMs = fleet.echoLimits.stampToEcho(agent, clock.now())
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
    this.watch.look()
    // Where this process stood still, the time that has passed counts before what has arrived meanwhile.
    if (agent.link === link) this.checkLost(agent, now)
    if (agent.link !== link) return
    agent.stampMs = frame.stampMs
    agent.receivedAt = now
    this.options.fleet.echoLimits.onStamp(agent, now)
    if (frame.slowness > 0) agent.slowness = frame.slowness
    agent.entryCount = Math.max(1, frame.entries)
    this.evacuations.onFrame(agent, frame)
    this.config.onFrame(agent, frame)
    if (frame.endpoint !== undefined) this.onEndpoint(agent, frame)
    else if (frame.leaving) this.onLeaving(agent)
    if (frame.resume !== undefined) this.onResume(agent, frame.resume.held.map(taskKey))
    for (const result of frame.results) this.onResult(agent, result)
    if (frame.room !== undefined) agent.setFreeCapacity(frame.room)
    if (this.owesFrame(agent, now)) link.add(() => {})
    if (agent.service !== '') this.options.schedule(agent.service)
  }

  /**
   * Only tasks that were sent need their authority renewed, as a start renews
   * it by itself; and an agent that offers room in vain must know.
   */
  private owesFrame ({ sent, echoedAt, knowsDemand: knowsWanting, service }: LeasedAgent, now: number): boolean {
    const wantsNoMore = knowsWanting && this.options.fleet.services.get(service)?.queue.size === 0
    return wantsNoMore || (sent.size > 0 && now - echoedAt >= ECHO_PACE_MS)
  }

  private onEvacuations (origin: EvacuationOrigin): void {
    const { fleet, events, schedule } = this.options
    events.evacuationsChanged(fleet.evacuations.zones, fleet.evacuations.version, origin)
    // What was served so far says nothing of the capacity that is left, or back.
    fleet.onEndpointsChanged()
    for (const service of fleet.services.keys()) schedule(service)
  }

  private onEndpoint (agent: LeasedAgent, { endpoint, leaving }: AgentFrame): void {
    const { fleet, events } = this.options
    // What was learned of a life, and whether it is new here, does not change with its capacity.
    if (agent.isSameIncarnation(endpoint!)) return this.onCapacity(agent, endpoint!, leaving)
    fleet.healthOf(agent)?.remove(agent.agentId)
    agent.setEndpoint(endpoint!)
    agent.isLeaving = leaving
    events.agentChanged(agent, 'endpoint')
    if (agent.service === '') return
    this.hasEndpoints = true
    fleet.onEndpointsChanged()
    fleet.serviceOf(agent.service).health.add(agent.agentId)
    // Its endpoint has shown that nothing of an earlier process of the agent runs any more.
    for (const earlier of [...this.replaced]) if (earlier.agentId === agent.agentId) this.lose(earlier, REASONS.agentLost)
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

  /** A start that the agent does not hold was never accepted: the earlier session ended before this one began. */
  private onResume (agent: LeasedAgent, held: string[]): void {
    agent.isResumed = true
    const heldKeys = new Set(held)
    for (const [key, sent] of [...agent.sent]) {
      if (heldKeys.has(key)) continue
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

  private replace (agent: LeasedAgent): void {
    const { fleet } = this.options
    agent.link?.close()
    agent.link = undefined
    fleet.agents.delete(agent.agentId)
    fleet.healthOf(agent)?.remove(agent.agentId)
    if (agent.sent.size > 0) this.replaced.add(agent)
  }

  private checkLost (agent: LeasedAgent, now: number): void {
    const { times, events, fleet } = this.options
    const silentMs = now - agent.receivedAt
    if (silentMs < terminationBoundMs(times)) return
    if (agent.sent.size > 0) {
      events.agentLost(agent.agentId, Math.round(silentMs), agent.sent.size)
      // On this session its agent must hear nothing more that would let them run on.
      this.endSession(agent)
    }
    this.lose(agent, REASONS.agentLost)
    if (agent.link === undefined && fleet.agents.get(agent.agentId) === agent) this.replace(agent)
  }

  /**
   * This process may have been suspended: what it has not heard meanwhile, as of
   * callers, is unknown to it, and agents that doubt their own clocks must not go by
   * its echoes. They dial again; what runs goes on under the authority that they know.
   */
  private endSessions (): void {
    for (const agent of this.options.fleet.agents.values()) this.endSession(agent)
  }

  private endSession (agent: LeasedAgent): void {
    const { link } = agent
    // A frame that is on its way out echoes nothing.
    agent.stampMs = 0
    if (link === undefined) return
    agent.link = undefined
    link.close()
    this.options.events.agentChanged(agent, 'session_closed')
  }

  /** Nothing that was sent to this process of the agent can run any more. */
  private lose (agent: LeasedAgent, reason: Reason): void {
    this.replaced.delete(agent)
    const lost = [...agent.sent.values()]
    agent.sent.clear()
    for (const sent of lost) this.options.onLost(agent, sent, reason)
  }
}
