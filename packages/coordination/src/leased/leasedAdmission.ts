import { REASONS } from '@hazellift/protocol'
import type { LeasedFleet } from './leasedFleet.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'

/** Backlog that an entry may take on, whatever its jobs ask for. */
const MAX_WAITING_JOBS = 2000
/** When a job that was refused for want of room may come again, in ms. */
const RETRY_AFTER_MS = 1000

const workLeft = ({ queue, need, expectedMs }: LeasedJob): number => queue.length * need.cpuMilli * expectedMs

const refuse = (reason: typeof REASONS.overload | typeof REASONS.noEndpoint, message: string): LeasedJobEnd =>
  ({ type: 'refused', reason, message, retryAfterMs: RETRY_AFTER_MS })

/** The end of a job that no room came free for; nothing of it was started. */
export const overload = (message: string): LeasedJobEnd => refuse(REASONS.overload, message)

/**
 * Why a job cannot be taken on, if so: nobody serves it, or what goes before it
 * takes so long that it would be given up.
 *
 * @param job - not queued yet
 * @param fleet - endpoints and queues
 * @param entryCount - entries that share the endpoints
 */
export const findRefusal = (job: LeasedJob, fleet: LeasedFleet, entryCount: number): LeasedJobEnd | undefined => {
  const capacity = fleet.capacityMilli(job.service)
  if (capacity === 0) return refuse(REASONS.noEndpoint, `no endpoint serves '${job.service}' now`)
  const { queue } = fleet.serviceOf(job.service)
  if (queue.size >= MAX_WAITING_JOBS) return overload('too many jobs wait')
  const ownMilli = Math.max(fleet.runningMilli(job.service), capacity / Math.max(1, entryCount))
  const waitMs = queue.workAhead(job.priority, workLeft) / ownMilli
  if (job.arrivedAt + waitMs <= job.giveUpAt) return undefined
  return overload(`the jobs ahead take about ${Math.round(waitMs)} ms`)
}
