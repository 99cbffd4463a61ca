import type { Clock, SuspensionWatch } from '@hazellift/common'
import type { OfferCapacity, Resources } from '@hazellift/decisions'
import type { TaskResult } from '@hazellift/protocol'
import type { LeaseTimes } from './times.js'
import type { LeasedEndpoint } from './types.js'

type LogFields = Record<string, string | number | boolean | undefined>

/** What the host needs. */
export interface LeasedHostOptions {
  clock: Clock
  /** Notices what the clock has not counted; one of its own if unset. */
  watch?: SuspensionWatch
  /** Availability zone of the endpoint. */
  zone: string
  times: LeaseTimes
  /** How long the endpoint may wait for an end before it answers a hold, in ms. */
  pollWaitMs: number
  log: (event: string, fields: LogFields) => void
  /** Told of every attempt that is over. */
  observe: (result: TaskResult) => void
  /** Decides which entry hears of scarce room, in place of the product's rule; for measurements. */
  offer?: OfferCapacity
}

/** The endpoint beside the agent. */
export interface AnnouncedIncarnation {
  service: string
  incarnation: string
  address: string
  capacity: Resources
  endpoint: LeasedEndpoint
}
