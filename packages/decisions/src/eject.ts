/**
 * Outlier ejection: decides which endpoints get no work for a while.
 *
 * An endpoint that fails the tasks it starts is free again at once, so it
 * attracts ever more of them. Failures of a job that fails everywhere must not
 * eject any endpoint.
 */

/** Record of the starts at one endpoint. */
export interface EndpointRecordView {
  /** Moving average of the share of failed starts, from 0 to 1. */
  readonly failureShare: number
  /** Starts that ended since the record began. */
  readonly samples: number
  /** False while the endpoint is ejected or being probed. */
  readonly isHealthy: boolean
}

/** An endpoint with fewer ended starts is not judged: so few say nothing. */
const MIN_SAMPLES = 3
/** A smaller share of failed starts is tolerated: retries cost less than the endpoint's capacity is worth. */
const MIN_FAILURE_SHARE = 0.45
/** An endpoint is ejected only if its share of failed starts exceeds that of its peers by this factor. */
const PEER_FACTOR = 2

/** True if the endpoint fails far more often than its peers. */
export type Eject = (record: EndpointRecordView, peers: readonly EndpointRecordView[]) => boolean

/**
 * Compares an endpoint with its healthy peers; without any there is nothing to
 * compare with, and it is not ejected.
 *
 * @param record - the endpoint where a start has just failed
 * @param peers - the other endpoints of its service
 */
export const eject: Eject = ({ failureShare, samples }, peers) => {
  if (samples < MIN_SAMPLES || failureShare < MIN_FAILURE_SHARE) return false
  const healthy = peers.filter(({ isHealthy }) => isHealthy)
  if (healthy.length === 0) return false
  const peerShare = healthy.reduce((sum, peer) => sum + peer.failureShare, 0) / healthy.length
  return failureShare > PEER_FACTOR * peerShare
}
