import { eject } from '@hazellift/decisions'
import type { EndpointRecordView, Eject } from '@hazellift/decisions'
import { HEALTH_STATES } from '@hazellift/protocol'
import type { HealthState } from '@hazellift/protocol'

/** Bounds for setting endpoints aside. */
export interface EndpointHealthOptions {
  now: () => number
  /** Largest share of a service's endpoints that may be set aside. */
  maxEjectedShare: number
  /** Time aside, by the number of times in a row. */
  ejectionBackoff: (ejections: number) => number
  /** Decides in place of the product's rule, for measurements. */
  eject?: Eject
}

/** How some starts at one endpoint ended. */
export interface EndCounts {
  done: number
  failed: number
  /** Run time of those done, all together, in ms. */
  runMs: number
}

interface EndpointRecord {
  /** Moving share of failed starts. */
  failureShare: number
  samples: number
  /** Run time against the service's mean; 1 is usual. */
  slowness: number
  state: HealthState
  ejectedUntil: number
  ejections: number
  /** Starts in flight since it is being probed. */
  probes: number
}

const FAILURE_WEIGHT = 0.2
const SLOWNESS_WEIGHT = 0.05

/** A moving average after `count` samples of the same value. */
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
 * Sets endpoints of one service aside that fail far beyond their peers, and
 * tries them again one start at a time.
 */
export class EndpointHealth {
  private readonly records = new Map<string, EndpointRecord>()
  private meanRunMs = 0

  constructor (private readonly options: EndpointHealthOptions) {}

  /** An endpoint joined, with a clean record. */
  add (id: string): void {
    this.records.set(id, newRecord())
  }

  /** An endpoint left. */
  remove (id: string): void {
    this.records.delete(id)
  }

  /** Mean run time of the service's tasks in ms, 0 while unknown. */
  get meanMs (): number {
    return this.meanRunMs
  }

  /** Run time at this endpoint against the service's mean. */
  slownessOf (id: string): number {
    return this.records.get(id)?.slowness ?? 1
  }

  /** How the endpoint counts now. */
  stateOf (id: string): HealthState {
    return this.records.get(id)?.state ?? HEALTH_STATES.healthy
  }

  /** True if a start may be sent there. */
  maySend (id: string): boolean {
    const record = this.records.get(id)
    if (record === undefined || record.state === HEALTH_STATES.healthy) return true
    if (record.state === HEALTH_STATES.ejected && this.options.now() >= record.ejectedUntil) {
      record.state = HEALTH_STATES.probing
      record.probes = 0
    }
    return record.state === HEALTH_STATES.probing && record.probes === 0
  }

  /** A start was sent. */
  sent (id: string): void {
    const record = this.records.get(id)
    if (record?.state === HEALTH_STATES.probing) record.probes++
  }

  /** A start came to nothing that tells about the endpoint. */
  inconclusive (id: string): void {
    const record = this.records.get(id)
    if (record !== undefined && record.probes > 0) record.probes--
  }

  /** A task was answered. */
  succeeded (id: string, runMs: number): void {
    this.recordEnds(id, { done: 1, failed: 0, runMs })
  }

  /** An attempt failed, or could not begin, at this endpoint. */
  failed (id: string): void {
    this.recordEnds(id, { done: 0, failed: 1, runMs: 0 })
  }

  /** Starts ended at this endpoint, in whatever order. */
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
