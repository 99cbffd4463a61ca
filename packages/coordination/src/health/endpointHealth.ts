import { eject } from '@hazellift/decisions'
import type { EndpointRecordView, Eject } from '@hazellift/decisions'
import { HEALTH_STATES } from '@hazellift/protocol'
import type { HealthState } from '@hazellift/protocol'

/** Options of an `EndpointHealth`. */
export interface EndpointHealthOptions {
  /** Monotonic time in ms. */
  now: () => number
  /** Largest share of a service's endpoints that may be out of regular use (ejected or probed) at the same time. */
  maxEjectedShare: number
  /** Duration of an ejection in ms, by the number of ejections in a row. */
  ejectionBackoff: (ejections: number) => number
  /** Replaces the product's rule in measurements. */
  eject?: Eject
}

/** Counts of starts at one endpoint, by how they ended. */
export interface EndCounts {
  done: number
  failed: number
  /** Total run time of the starts that were done, in ms. */
  runMs: number
}

interface EndpointRecord {
  /** Moving average of the share of failed starts, from 0 to 1. */
  failureShare: number
  /** Number of starts that ended since the record began. */
  samples: number
  /** Moving average of the ratio of run times here to the mean of the service; 1 is the mean. */
  slowness: number
  state: HealthState
  /** End of the ejection, in ms of `now`. */
  ejectedUntil: number
  /** Number of ejections in a row. */
  ejections: number
  /** Number of starts in flight that were sent while the endpoint is probed. */
  probes: number
}

/** Weight of the latest sample in the moving average of failures. */
const FAILURE_WEIGHT = 0.2
/** Weight of the latest sample in the moving averages of run times. */
const SLOWNESS_WEIGHT = 0.05

/** Updates a moving average with `count` samples of the same value. */
const blend = (average: number, value: number, weight: number, count: number): number =>
  value + (average - value) * (1 - weight) ** count

const viewOf = ({ failureShare, samples, state }: EndpointRecord): EndpointRecordView =>
  ({ failureShare, samples, isHealthy: state === HEALTH_STATES.healthy })

const newRecord = (): EndpointRecord => ({
  failureShare: 0,
  samples: 0,
  slowness: 1,
  state: HEALTH_STATES.healthy,
  ejectedUntil: 0,
  ejections: 0,
  probes: 0
})

/**
 * Ejects endpoints of one service that fail far more often than their peers.
 * After its ejection an endpoint is probed with one start at a time: a success
 * restores it with an empty record of failures, a failure ejects it again unless
 * too many endpoints are out of use.
 */
export class EndpointHealth {
  private readonly records = new Map<string, EndpointRecord>()
  private meanRunMs = 0

  constructor (private readonly options: EndpointHealthOptions) {}

  /** Adds an endpoint with an empty record. */
  add (id: string): void {
    this.records.set(id, newRecord())
  }

  /** Removes an endpoint that left the service. */
  remove (id: string): void {
    this.records.delete(id)
  }

  /** Mean run time of the service's tasks in ms; 0 while unknown. */
  get meanMs (): number {
    return this.meanRunMs
  }

  /** Ratio of the run times at an endpoint to the mean of the service; 1 for an unknown endpoint. */
  slownessOf (id: string): number {
    return this.records.get(id)?.slowness ?? 1
  }

  /** State of an endpoint; healthy if it is unknown. */
  stateOf (id: string): HealthState {
    return this.records.get(id)?.state ?? HEALTH_STATES.healthy
  }

  /** True if a start may be sent to the endpoint now. Begins probing once the ejection has ended. */
  maySend (id: string): boolean {
    const record = this.records.get(id)
    if (record === undefined || record.state === HEALTH_STATES.healthy) return true
    if (record.state === HEALTH_STATES.ejected && this.options.now() >= record.ejectedUntil) {
      record.state = HEALTH_STATES.probing
      record.probes = 0
    }
    return record.state === HEALTH_STATES.probing && record.probes === 0
  }

  /** Records that a start was sent to the endpoint. */
  sent (id: string): void {
    const record = this.records.get(id)
    if (record?.state === HEALTH_STATES.probing) record.probes++
  }

  /** Records that a start ended with a result that says nothing about the endpoint; a probe may then be repeated. */
  inconclusive (id: string): void {
    const record = this.records.get(id)
    if (record !== undefined && record.probes > 0) record.probes--
  }

  /** Records that a task was done by the endpoint, after `runMs`. */
  succeeded (id: string, runMs: number): void {
    this.recordEnds(id, { done: 1, failed: 0, runMs })
  }

  /** Records that an attempt failed, or could not begin, at the endpoint. */
  failed (id: string): void {
    this.recordEnds(id, { done: 0, failed: 1, runMs: 0 })
  }

  /** Records how several starts at the endpoint ended; their order is not known. */
  recordEnds (id: string, { done, failed, runMs }: EndCounts): void {
    const record = this.records.get(id)
    if (done > 0) this.observeSpeed(record, done, runMs / done)
    if (record === undefined) return
    const count = done + failed
    record.samples += count
    record.failureShare = blend(record.failureShare, failed / count, FAILURE_WEIGHT, count)
    if (failed === 0) return this.endProbing(record)
    const isFailing = record.state === HEALTH_STATES.probing || this.isOutlier(record)
    if (isFailing && record.state !== HEALTH_STATES.ejected && this.mayEject(record)) this.eject(record)
    else this.endProbing(record)
  }

  private endProbing (record: EndpointRecord): void {
    if (record.state === HEALTH_STATES.probing) this.restore(record)
  }

  private observeSpeed (record: EndpointRecord | undefined, count: number, runMs: number): void {
    this.meanRunMs = this.meanRunMs === 0 ? runMs : blend(this.meanRunMs, runMs, SLOWNESS_WEIGHT, count)
    const ratio = this.meanRunMs === 0 ? 1 : runMs / this.meanRunMs
    if (record !== undefined) record.slowness = blend(record.slowness, ratio, SLOWNESS_WEIGHT, count)
  }

  private isOutlier (record: EndpointRecord): boolean {
    const peers = [...this.records.values()].filter((peer) => peer !== record)
    const decide = this.options.eject ?? eject
    return decide(viewOf(record), peers.map(viewOf))
  }

  private mayEject (record: EndpointRecord): boolean {
    const records = [...this.records.values()]
    const others = records.filter((other) => other !== record && other.state !== HEALTH_STATES.healthy)
    return others.length + 1 <= records.length * this.options.maxEjectedShare
  }

  private eject (record: EndpointRecord): void {
    record.ejections++
    record.state = HEALTH_STATES.ejected
    record.ejectedUntil = this.options.now() + this.options.ejectionBackoff(record.ejections)
  }

  private restore (record: EndpointRecord): void {
    Object.assign(record, newRecord(), { slowness: record.slowness })
  }
}
