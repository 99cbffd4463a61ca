import type { AgentLink } from '../session/types.js'
import type { Job } from '../jobs/job.js'

/** A start in flight. */
export interface SentTask {
  job: Job
  task: number
  sentAt: number
  /** Charged to the workspace when it was sent, in ms. */
  estimateMs: number
}

/** What an entry knows of one agent and its endpoint. */
export interface AgentHandle {
  agentId: string
  incarnation: string
  zone: string
  service: string
  slots: number
  address: string
  isLeaving: boolean
  /** Unset while no session is open. */
  link: AgentLink | undefined
  /** False until the agent told what it holds. */
  isResumed: boolean
  credits: number
  /** Credits kept while no task waits. */
  standingCredits: number
  /** Slots to count on: as the agent said last, less the starts sent since. */
  freeSlots: number
  /** Demand that the agent was told last. */
  reportedDemand: number
  /** The agent's own clock, as it said last. */
  stampMs: number
  /** The last stamp of the session before this one. */
  previousSessionStampMs: number
  sent: Map<string, SentTask>
  cancelLossTimer: (() => void) | undefined
}

/**
 * A handle for an agent that said hello.
 *
 * @param agentId - the agent's name
 * @param incarnation - its process
 * @param zone - its availability zone
 */
export const createAgentHandle = (agentId: string, incarnation: string, zone: string): AgentHandle => ({
  agentId,
  incarnation,
  zone,
  service: '',
  slots: 0,
  address: '',
  isLeaving: false,
  link: undefined,
  isResumed: false,
  credits: 0,
  standingCredits: 0,
  freeSlots: 0,
  reportedDemand: 0,
  stampMs: 0,
  previousSessionStampMs: 0,
  sent: new Map(),
  cancelLossTimer: undefined
})
