import type { Clock } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import type { Reason } from '@hazellift/protocol'
import type { LeaseTimes } from './times.js'
import type { LeasedEndpoint } from './types.js'

/** What a life needs. */
export interface EndpointSupervisorOptions {
  clock: Clock
  endpoint: LeasedEndpoint
  capacity: Resources
  times: LeaseTimes
  /** How long the answer to a hold may wait for an end. */
  pollWaitMs: number
  /** Called before each hold: runs without authority must be stopped before they are held on. */
  beforeRenewal: () => void
  /** True while what runs is looked at only, and not held on. */
  isUnverified?: () => boolean
  /** False while nothing may be started; an order that was not answered is not repeated then. */
  mayStart: () => boolean
  /** The room changed. */
  onCapacityFreed: () => void
  /** Nothing of an earlier agent runs any more; starts are taken from now on. */
  onReady: () => void
  /** Why runs are lost whose life has ended by itself. */
  endReason: () => Reason
  /** Another life of the endpoint has answered. */
  onGone: () => void
  log: (event: string, fields: Record<string, string | number | boolean | undefined>) => void
}
