import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import type { Reason } from '@hazellift/protocol'
import type { LeaseTimes } from './times.js'
import type { LeasedEndpoint } from './types.js'

/** What an endpoint supervisor needs. */
export interface EndpointSupervisorOptions {
  clock: Clock
  endpoint: LeasedEndpoint
  capacity: Resources
  times: LeaseTimes
  /** How long the endpoint may delay the answer to a poll until a run ends, in ms. */
  pollWaitMs: number
  /** Called before each poll that may renew the run lease: stops runs without an entry lease, which must not be renewed. */
  beforeRenewal: () => void
  /** True while some run's entry lease is unverified: polls do not renew the run lease then. */
  isUnverified?: () => boolean
  /** False while nothing may be started; an unanswered start is not repeated then. */
  mayStart: () => boolean
  /** The free capacity may have grown, or has become zero because the endpoint is unresponsive. */
  onCapacityFreed: () => void
  /** All runs of earlier agents have terminated: starts are accepted from now on. */
  onReady: () => void
  /** Reason for lost runs if the incarnation has ended on its own. */
  endReason: () => Reason
  /** Another incarnation of the endpoint has answered, before this one was retired. */
  onGone: () => void
  log: (event: string, fields: Record<string, string | number | boolean | undefined>) => void
}
