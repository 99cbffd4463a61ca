import type { Clock, SuspensionWatch } from '@hazellift/common'
import type { OfferCapacity, Resources } from '@hazellift/decisions'
import type { TaskResult } from '@hazellift/protocol'
import type { LeaseTimes } from './times.js'
import type { LeasedEndpoint } from './types.js'

type LogFields = Record<string, string | number | boolean | undefined>

/** What a leased host needs. */
export interface LeasedHostOptions {
  clock: Clock
  /** Detects suspensions, which the clock does not count; the host creates one if undefined. */
  watch?: SuspensionWatch
  /** Availability zone of the endpoint. */
  zone: string
  times: LeaseTimes
  /** How long the endpoint may delay the answer to a poll until a run ends, in ms. */
  pollWaitMs: number
  log: (event: string, fields: LogFields) => void
  /** Called with the result of every attempt. */
  observe: (result: TaskResult) => void
  /** Chooses the entry that scarce free capacity is offered to; replaces the default rule in measurements. */
  offer?: OfferCapacity
}

/** An incarnation of the endpoint beside the agent, as it was announced. */
export interface AnnouncedIncarnation {
  service: string
  incarnation: string
  address: string
  capacity: Resources
  endpoint: LeasedEndpoint
}
