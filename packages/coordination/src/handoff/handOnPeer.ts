import type { NeighbourView, EntryLoadView } from '@hazellift/decisions'
import type { CallerFrame, HandOnNews } from '@hazellift/protocol'
import type { LeasedJob } from '../leased/leasedJob.js'
import type { HandOnLink } from './types.js'

/** A neighbour's load for one service, as input to the decision to hand a job on. */
export interface PeerView extends NeighbourView {
  readonly peer: HandOnPeer
}

/** A load report may not include yet what was offered during this time before it. */
const REPORT_DELAY_MS = 100

/** A neighbour to which this entry may hand jobs on (forward them), as seen on one stream. */
export class HandOnPeer {
  /** Jobs offered to it and not confirmed terminated, by the number of their offer. */
  readonly offeredJobs = new Map<number, LeasedJob>()
  /** False once the stream has ended or the neighbour counts as lost. */
  isOpen = true
  /** The highest timestamp received from it, on its clock. */
  stampMs = 0
  /** When its last frame was received, on this process's clock. */
  receivedAt: number
  /** When a frame was last sent to it; each frame echoes `stampMs`. */
  echoedAt = -Infinity
  private loadReport: HandOnNews | undefined
  private offerCount = 0
  private recentOffers: Array<{ offeredAt: number, cpuMilli: number }> = []

  constructor (readonly address: string, readonly zone: string, readonly link: HandOnLink<CallerFrame>, now: number) {
    this.receivedAt = now
  }

  /** Records the timestamp of a received frame, and its load report if it has one. */
  onReceived (now: number, stampMs: number, loadReport: HandOnNews | undefined): void {
    this.receivedAt = now
    this.stampMs = Math.max(this.stampMs, stampMs)
    if (loadReport !== undefined) this.loadReport = loadReport
  }

  /**
   * Records a job as offered to this neighbour.
   *
   * @returns the number of the offer
   */
  addOffer (job: LeasedJob, now: number): number {
    this.recentOffers.push({ offeredAt: now, cpuMilli: job.count * job.need.cpuMilli })
    this.offeredJobs.set(++this.offerCount, job)
    return this.offerCount
  }

  /** The number of the job's offer; undefined if the job is not offered to this neighbour. */
  offerOf (job: LeasedJob): number | undefined {
    for (const [offer, other] of this.offeredJobs) if (other === job) return offer
    return undefined
  }

  /** Its last load report for a service, however old, and the offers that the report may not include. */
  viewOf (service: string, now: number): PeerView {
    this.recentOffers = this.recentOffers.filter(({ offeredAt }) => now - offeredAt < REPORT_DELAY_MS)
    const serviceReport = this.loadReport?.rooms.find((report) => report.service === service)
    const load: EntryLoadView = { lagMs: this.loadReport?.lagMs ?? 0, waitMs: serviceReport?.waitMs ?? 0 }
    return {
      peer: this,
      zone: this.zone,
      receivedAt: this.receivedAt,
      isOpen: this.isOpen && serviceReport !== undefined,
      isStopping: this.loadReport?.stopping ?? false,
      ...load,
      freeMilli: serviceReport?.freeMilli ?? 0,
      unreportedMilli: this.recentOffers.reduce((sum, { cpuMilli }) => sum + cpuMilli, 0)
    }
  }
}
