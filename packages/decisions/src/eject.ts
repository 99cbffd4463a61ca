/**
 * Which endpoints get no work for a while.
 *
 * Load: an endpoint fails what it starts and is free again at once, so it draws
 * ever more work. A job that fails everywhere must not condemn any endpoint.
 */

/** What is known of an endpoint's starts. */
export interface EndpointRecordView {
  /** Moving share of failed starts. */
  readonly failureShare: number
  /** Starts that ended since its record began. */
  readonly samples: number
  /** True while it gets work as usual. */
  readonly isHealthy: boolean
}

/** Fewer ends than this say nothing. */
const MIN_SAMPLES = 3
/** Less than this share of failed starts is borne: retries cost less than the endpoint's room. */
const MIN_FAILURE_SHARE = 0.45
/** How many times the failures of its peers an endpoint must show. */
const PEER_FACTOR = 2

/** True if the endpoint fails far more than its peers. */
export type Eject = (record: EndpointRecordView, peers: readonly EndpointRecordView[]) => boolean

/**
 * Compares with the peers that get work as usual; without any there is nothing to compare with.
 *
 * @param record - of the endpoint that has just failed a start
 * @param peers - of the other endpoints of its service
 */
export const eject: Eject = ({ failureShare, samples }, peers) => {
  if (samples < MIN_SAMPLES || failureShare < MIN_FAILURE_SHARE) return false
  const healthy = peers.filter(({ isHealthy }) => isHealthy)
  if (healthy.length === 0) return false
  const peerShare = healthy.reduce((sum, peer) => sum + peer.failureShare, 0) / healthy.length
  return failureShare > PEER_FACTOR * peerShare
}
