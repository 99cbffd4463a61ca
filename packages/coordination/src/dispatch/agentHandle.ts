import type { AgentLink } from '../session/types.js'
import type { Job } from '../jobs/job.js'

/** A task that was sent to an agent and whose end is not known yet. */
export interface SentTask {
  job: Job
  /** Index of the task in its job. */
  task: number
  /** On the entry's monotonic clock, in ms. */
  sentAt: number
  /** Estimated run time that was charged to the workspace when the task was sent, in ms. */
  estimateMs: number
}

/** An entry's view of one agent and its endpoint. */
export interface AgentHandle {
  agentId: string
  /** Distinguishes this process of the agent from earlier ones. */
  incarnation: string
  zone: string
  /** Service that the endpoint offers; empty for none. */
  service: string
  slots: number
  address: string
  isLeaving: boolean
  /** Link of the open session; undefined while there is none. */
  link: AgentLink | undefined
  /** False until the agent has listed the tasks that it accepted in earlier sessions. */
  isResumed: boolean
  /** Starts that this entry may still send. */
  credits: number
  /** Credits that this entry keeps while no task waits. */
  standingCredits: number
  /** Slots that this entry can use: the agent's latest figure, less the starts sent since. */
  freeSlots: number
  /** Demand that was last reported to the agent, less the credits received since. */
  reportedDemand: number
  /** When this process was first heard, on the entry's monotonic clock, in ms. */
  firstHeardAt: number
  /** Latest timestamp of the agent's own clock, in ms. */
  stampMs: number
  /** Last timestamp of the agent in the latest resumed session before this one, in ms. */
  previousSessionStampMs: number
  /** Tasks in flight at this agent, by task key. */
  sent: Map<string, SentTask>
  /** Cancels the timer that declares the agent lost; undefined while none runs. */
  cancelLossTimer: (() => void) | undefined
}

/**
 * Creates the handle of an agent that opens its first session with this entry.
 *
 * @param agentId - name of the agent
 * @param incarnation - id of the agent's process
 * @param zone - availability zone of the agent
 * @param firstHeardAt - when this process was first heard, on the entry's monotonic clock, in ms
 */
export const createAgentHandle = (agentId: string, incarnation: string, zone: string, firstHeardAt: number): AgentHandle => ({
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
  firstHeardAt,
  stampMs: 0,
  previousSessionStampMs: 0,
  sent: new Map(),
  cancelLossTimer: undefined
})
