import { rendezvousScore } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import type { EndpointState, Hello, Room } from '@hazellift/protocol'
import type { AgentLink } from '../session/types.js'
import type { LeasedJob } from './leasedJob.js'
import { StampHistory } from './stampHistory.js'

/** A run of a task that was sent to an agent and is not confirmed terminated. */
export interface SentRun {
  job: LeasedJob
  index: number
  attempt: number
  /** When its start was sent, in ms on the entry's clock. */
  sentAt: number
  /** Incarnation of the agent's endpoint that was known when the start was sent. */
  endpointIncarnation: string
  /** Its address; only one incarnation can be there at a time. */
  endpointAddress: string
}

/** State of an entry's exchange of configuration documents with one agent. */
export interface ConfigExchangeState {
  /** Rendezvous hash: the agents with the highest scores are the replicas. */
  readonly replicaScore: number
  /** Version that the agent reported last; 0 for none. */
  replicaVersion: bigint
  /** Version that was sent last on this session; 0 for none. */
  sentVersion: bigint
  /** The next frame carries the document. */
  isDocumentDue: boolean
  /** The next frame requests the agent's document. */
  isRequestDue: boolean
  /** When its document was requested last, in ms on the entry's clock. */
  requestedAt: number
}

const REPLICA_KEY = 'config'

const NO_CAPACITY: Resources = { cpuMilli: 0, memoryMb: 0 }

const subtract = (free: Resources, need: Resources): Resources =>
  ({ cpuMilli: free.cpuMilli - need.cpuMilli, memoryMb: free.memoryMb - need.memoryMb })

/** What an entry knows of one process of an agent, with the runs that it has sent there. */
export class LeasedAgent {
  readonly agentId: string
  /** Incarnation of the agent process. */
  readonly incarnation: string
  /** Availability zone of the agent and its endpoint. */
  readonly zone: string
  /** Service of the endpoint; empty while the agent has none. */
  service = ''
  /** Incarnation of the endpoint; empty until the agent has confirmed that nothing of an earlier agent process runs there. */
  endpointIncarnation = ''
  /** Address of the endpoint, as the agent calls it; empty with the incarnation. */
  endpointAddress = ''
  /** Whole capacity of the endpoint. */
  capacity = NO_CAPACITY
  /** Unset without a session. */
  link: AgentLink | undefined
  /** When its last session ended, in ms on the entry's clock. */
  closedAt = -Infinity
  /** True once the agent has listed, on this session, the tasks that it has from this entry. */
  isResumed = false
  /** The agent takes no more starts. */
  isLeaving = false
  /** Timestamp to echo: the latest one received, in ms on the agent's clock; 0 if there is none to echo. */
  stampMs = 0
  /** The latest timestamp received from this agent process, in ms on its clock, also if it must not be echoed. */
  latestStampMs = 0
  /** Its timestamps with their times of receipt; empty until another entry may hand on jobs. */
  readonly stamps = new StampHistory()
  /** The highest timestamp echoed to this agent process, on any session. */
  echoedStampMs = 0
  /** When the last frame from it was received, in ms on the entry's clock. */
  receivedAt = 0
  /** When the last frame to it was sent; each frame echoes a timestamp. */
  echoedAt = 0
  /** Recent run times at its endpoint relative to the expected ones, over the tasks of all entries. 1 is as expected. */
  slowness = 1
  /** Number of entries that share its endpoint, as it reported last. */
  entryCount = 1
  /** The last frame to the agent reported that tasks wait here. */
  knowsDemand = false
  /** Exchange of configuration documents with the agent. */
  readonly config: ConfigExchangeState
  /** Latest version of the list of evacuated zones that it reported or was sent on this session. */
  evacuationsVersion = 0n
  /** The agent has reported its endpoint on this session. */
  private hasReportedEndpoint = false
  /** Runs that are not confirmed terminated, by task key. */
  readonly sent = new Map<string, SentRun>()
  private reportedFree = NO_CAPACITY
  private startsSeen = 0
  /** Needs of the starts sent on this session that the reported free capacity does not reflect yet, oldest first. */
  private unseenNeeds: Resources[] = []
  /** Reported free capacity less `unseenNeeds`; cached because every choice of an agent reads it for all agents. */
  private remaining = NO_CAPACITY

  /**
   * @param hello - the first one of the process
   * @param firstHeardAt - when it was received, in ms on the entry's clock
   */
  constructor ({ agentId, incarnation, zone }: Hello, readonly firstHeardAt: number) {
    this.agentId = agentId
    this.incarnation = incarnation
    this.zone = zone
    this.config = {
      replicaScore: rendezvousScore(agentId, REPLICA_KEY), replicaVersion: 0n, sentVersion: 0n, isDocumentDue: false, isRequestDue: false, requestedAt: -Infinity
    }
  }

  /** Free capacity that remains for further starts. */
  get freeCapacity (): Resources {
    return this.remaining
  }

  /** Begins a new session and resets all state of an earlier one. */
  connect (link: AgentLink, now: number): void {
    this.link?.close()
    this.link = link
    this.receivedAt = now
    this.isResumed = false
    this.hasReportedEndpoint = false
    this.knowsDemand = false
    Object.assign(this.config, { replicaVersion: 0n, sentVersion: 0n, isDocumentDue: false, isRequestDue: false })
    this.evacuationsVersion = 0n
    this.reportedFree = NO_CAPACITY
    this.startsSeen = 0
    this.unseenNeeds = []
    this.remaining = NO_CAPACITY
  }

  /** Ends the session, if there is one. */
  disconnect (now: number): void {
    if (this.link !== undefined) this.closedAt = now
    this.link = undefined
  }

  /** Handles free capacity that the agent reported, and the number of starts that it reflects. */
  setFreeCapacity ({ cpuMilli, memoryMb, startsSeen }: Room): void {
    this.unseenNeeds.splice(0, startsSeen - this.startsSeen)
    this.startsSeen = startsSeen
    this.reportedFree = { cpuMilli, memoryMb }
    this.remaining = this.unseenNeeds.reduce(subtract, this.reportedFree)
  }

  /** True if the agent has already reported this endpoint incarnation on this session, perhaps with another capacity. */
  isSameIncarnation ({ service, incarnation }: EndpointState): boolean {
    return this.hasReportedEndpoint && service !== '' && service === this.service && incarnation === this.endpointIncarnation
  }

  /** Handles the endpoint that the agent reported; an empty service means that it has none. */
  setEndpoint ({ service, incarnation, address, capacity }: EndpointState): void {
    this.hasReportedEndpoint = true
    this.service = service
    this.endpointIncarnation = incarnation
    this.endpointAddress = address
    this.capacity = capacity ?? NO_CAPACITY
    if (service !== '') return
    this.reportedFree = NO_CAPACITY
    this.remaining = NO_CAPACITY
  }

  /** Deducts the need of a start that is being sent. */
  reserve (need: Resources): void {
    this.unseenNeeds.push(need)
    this.remaining = subtract(this.remaining, need)
  }
}
