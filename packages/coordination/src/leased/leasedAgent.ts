import { rendezvousScore } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import type { EndpointState, Hello, Room } from '@hazellift/protocol'
import type { AgentLink } from '../session/types.js'
import type { LeasedJob } from './leasedJob.js'
import { StampHistory } from './stampHistory.js'

/** An order sent to an agent and not proved to be over. */
export interface SentRun {
  job: LeasedJob
  index: number
  attempt: number
  sentAt: number
  /** Life of the endpoint there, as the agent had told. */
  endpointIncarnation: string
}

/** What passed between an entry and an agent of configuration documents. */
export interface ConfigExchangeState {
  /** The agents with the highest keep copies. */
  readonly replicaScore: number
  /** As the agent said last. */
  replicaVersion: bigint
  /** Sent on this session. */
  sentVersion: bigint
  /** The next frame carries the document. */
  isDocumentDue: boolean
  /** The next frame asks for the agent's document. */
  isRequestDue: boolean
  /** When it was asked last. */
  requestedAt: number
}

const KEEPER_KEY = 'config'

const NO_ROOM: Resources = { cpuMilli: 0, memoryMb: 0 }

const subtract = (room: Resources, need: Resources): Resources =>
  ({ cpuMilli: room.cpuMilli - need.cpuMilli, memoryMb: room.memoryMb - need.memoryMb })

/** What an entry knows of one process of an agent, and what it has ordered there. */
export class LeasedAgent {
  readonly agentId: string
  readonly incarnation: string
  readonly zone: string
  service = ''
  /** Life of the endpoint; empty until the agent has proved that nothing else runs there. */
  endpointIncarnation = ''
  capacity = NO_ROOM
  link: AgentLink | undefined
  /** False until the agent told what it holds. */
  isResumed = false
  isLeaving = false
  /** The agent's own clock, as it said last. */
  stampMs = 0
  /** Which of its stamps were read when; empty while no other entry's jobs may come. */
  readonly stamps = new StampHistory()
  /** The highest stamp echoed to this process of it, on any session. */
  echoedStampMs = 0
  /** When its last frame was read. */
  receivedAt = 0
  /** When it was last echoed to the agent. */
  echoedAt = 0
  /** Run times at its endpoint lately against the expected ones, as the agent sees those of all entries. */
  slowness = 1
  /** Entries that share its endpoint, as it said last. */
  entryCount = 1
  /** The agent was told that tasks wait here. */
  knowsDemand = false
  readonly config: ConfigExchangeState
  /** Version of the list of evacuated zones that it has, or that was sent on this session. */
  evacuationsVersion = 0n
  /** The agent has told of its endpoint on this session. */
  private hasReportedEndpoint = false
  readonly sent = new Map<string, SentRun>()
  private told = NO_ROOM
  private startsSeen = 0
  /** Needs of the starts sent on this session, those that the told room does not reflect yet last. */
  private unseen: Resources[] = []
  /** The told room less these; read for every agent at each choice, so it is kept. */
  private left = NO_ROOM

  constructor ({ agentId, incarnation, zone }: Hello) {
    this.agentId = agentId
    this.incarnation = incarnation
    this.zone = zone
    this.config = {
      replicaScore: rendezvousScore(agentId, KEEPER_KEY), replicaVersion: 0n, sentVersion: 0n, isDocumentDue: false, isRequestDue: false, requestedAt: -Infinity
    }
  }

  /** What can be sent on top of everything sent before. */
  get freeCapacity (): Resources {
    return this.left
  }

  /** A new session: nothing of an earlier one counts. */
  connect (link: AgentLink, now: number): void {
    this.link?.close()
    this.link = link
    this.receivedAt = now
    this.isResumed = false
    this.hasReportedEndpoint = false
    this.knowsDemand = false
    Object.assign(this.config, { replicaVersion: 0n, sentVersion: 0n, isDocumentDue: false, isRequestDue: false })
    this.evacuationsVersion = 0n
    this.told = NO_ROOM
    this.startsSeen = 0
    this.unseen = []
    this.left = NO_ROOM
  }

  /** The agent told its room. */
  setFreeCapacity ({ cpuMilli, memoryMb, startsSeen }: Room): void {
    this.unseen.splice(0, startsSeen - this.startsSeen)
    this.startsSeen = startsSeen
    this.told = { cpuMilli, memoryMb }
    this.left = this.unseen.reduce(subtract, this.told)
  }

  /** True if this is the life that the session has told of already, perhaps with another capacity. */
  isSameIncarnation ({ service, incarnation }: EndpointState): boolean {
    return this.hasReportedEndpoint && service !== '' && service === this.service && incarnation === this.endpointIncarnation
  }

  setEndpoint ({ service, incarnation, capacity }: EndpointState): void {
    this.hasReportedEndpoint = true
    this.service = service
    this.endpointIncarnation = incarnation
    this.capacity = capacity ?? NO_ROOM
    if (service !== '') return
    this.told = NO_ROOM
    this.left = NO_ROOM
  }

  /** A start was sent. */
  reserve (need: Resources): void {
    this.unseen.push(need)
    this.left = subtract(this.left, need)
  }
}
