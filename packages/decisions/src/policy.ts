import { admit } from './admit.js'
import type { Admit } from './admit.js'
import { shed } from './shed.js'
import type { Shed } from './shed.js'
import { moveRun } from './moveRun.js'
import type { MoveRun } from './moveRun.js'
import { offerCapacity } from './offerCapacity.js'
import type { OfferCapacity } from './offerCapacity.js'
import { orderJobs } from './orderJobs.js'
import type { OrderJobs } from './orderJobs.js'
import { placeTask } from './placeTask.js'
import type { PlaceTask } from './placeTask.js'
import { retryAfter } from './retryAfter.js'
import type { RetryAfter } from './retryAfter.js'
import { eject } from './eject.js'
import type { Eject } from './eject.js'
import { computeShares } from './shares.js'
import type { ComputeShares } from './shares.js'
import { fits } from './types.js'

/** All decisions, each a function that may be replaced by itself. */
export interface Policy {
  admit: Admit
  order: OrderJobs
  place: PlaceTask
  offer: OfferCapacity
  move: MoveRun
  giveUp: Shed
  retryAfter: RetryAfter
  setAside: Eject
  shares: ComputeShares
}

/** What the programs use. */
export const POLICY: Policy = { admit, order: orderJobs, place: placeTask, offer: offerCapacity, move: moveRun, giveUp: shed, retryAfter, setAside: eject, shares: computeShares }

const admitAll: Admit = (_job, { capacityMilli }) => capacityMilli === 0 ? { type: 'no_capacity' } : { type: 'taken' }
const noFloors: ComputeShares = (_servedMilli, queues) => queues.map((queue) => ({ ...queue, floorMilli: 0 }))
const firstComeFirstServed: OrderJobs = (jobs) => [...jobs].sort((a, b) => a.arrivedAt - b.arrivedAt)
const firstFittingAgent: PlaceTask = (agents, job, { maySend }) => {
  for (const agent of agents) if (fits(job.need, agent.freeCapacity) && maySend(agent)) return agent
  return undefined
}

/**
 * The plain way to decide each question, to measure the policy against: each of
 * its functions takes the place of its namesake, alone or with others.
 */
export const PLAIN_POLICY: Policy = {
  admit: admitAll,
  order: firstComeFirstServed,
  place: firstFittingAgent,
  offer: (wanting) => wanting[0]?.incarnation,
  move: () => false,
  giveUp: (job, now) => job.mayHaveRun === 0 && now > job.expiresAt,
  retryAfter,
  setAside: () => false,
  shares: noFloors
}
