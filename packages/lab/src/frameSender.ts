import type { Clock } from '@hazellift/common'
import type { LabProcess } from './labProcess.js'

/** What a side of a session sends through. */
export interface FrameSenderOptions<Frame> {
  clock: Clock
  process: LabProcess
  /** Processor time of a frame, in ms of a whole core. */
  cpuMs: number
  /** Time of the way. */
  delayMs: number
  createFrame: () => Frame
  /** Fills in what every frame carries, as it leaves. */
  fillFrame: (frame: Frame) => void
  /** Its size on the wire. */
  sizeOf: (frame: Frame) => number
  /** The frame is on its way. */
  deliver: (frame: Frame, delayMs: number, bytes: number) => void
}

/** What one side of a session sends: parts that are ready together go in one frame. */
export class FrameSender<Frame> {
  /** When the last frame left. */
  sentAt: number
  private pending: Frame | undefined
  private lastArrivalAt = 0

  constructor (private readonly options: FrameSenderOptions<Frame>) {
    this.sentAt = options.clock.now()
  }

  add = (change: (frame: Frame) => void): void => {
    const { process, cpuMs: costMs, createFrame: empty } = this.options
    const isFirst = this.pending === undefined
    this.pending ??= empty()
    change(this.pending)
    if (isFirst) process.execute(costMs, () => this.flush())
  }

  private flush (): void {
    const { clock: world, process, delayMs, fillFrame: stamp, sizeOf: bytesOf, deliver } = this.options
    const frame = this.pending!
    this.pending = undefined
    stamp(frame)
    this.sentAt = world.now()
    // One stream: no frame overtakes another.
    const bytes = bytesOf(frame)
    this.lastArrivalAt = Math.max(world.now() + process.send(bytes) + delayMs, this.lastArrivalAt)
    deliver(frame, this.lastArrivalAt - world.now(), bytes)
  }
}
