import type { Clock } from '@hazellift/common'
import type { LabProcess } from './labProcess.js'

/** What a side of a session sends through. */
export interface FrameSenderOptions<Frame> {
  world: Clock
  process: LabProcess
  /** Processor time of a frame, in ms of a whole core. */
  costMs: number
  /** Time of the way. */
  delayMs: number
  empty: () => Frame
  /** Fills in what every frame carries, as it leaves. */
  stamp: (frame: Frame) => void
  /** Its size on the wire. */
  bytesOf: (frame: Frame) => number
  /** The frame is on its way. */
  deliver: (frame: Frame, delayMs: number, bytes: number) => void
}

/** What one side of a session sends: parts that are ready together go in one frame. */
export class FrameSender<Frame> {
  /** When the last frame left. */
  sentAt: number
  private pending: Frame | undefined
  private arrivesAt = 0

  constructor (private readonly options: FrameSenderOptions<Frame>) {
    this.sentAt = options.world.now()
  }

  add = (change: (frame: Frame) => void): void => {
    const { process, costMs, empty } = this.options
    const isFirst = this.pending === undefined
    this.pending ??= empty()
    change(this.pending)
    if (isFirst) process.work(costMs, () => this.flush())
  }

  private flush (): void {
    const { world, process, delayMs, stamp, bytesOf, deliver } = this.options
    const frame = this.pending!
    this.pending = undefined
    stamp(frame)
    this.sentAt = world.now()
    // One stream: no frame overtakes another.
    const bytes = bytesOf(frame)
    this.arrivesAt = Math.max(world.now() + process.send(bytes) + delayMs, this.arrivesAt)
    deliver(frame, this.arrivesAt - world.now(), bytes)
  }
}
