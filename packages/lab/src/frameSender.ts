import type { Clock } from '@hazellift/common'
import type { LabProcess } from './labProcess.js'

/** Options of a `FrameSender`. */
export interface FrameSenderOptions<Frame> {
  clock: Clock
  process: LabProcess
  /** CPU time to send a frame, in ms of a whole core. */
  cpuMs: number
  /** One-way network delay. */
  delayMs: number
  createFrame: () => Frame
  /** Adds the present values to a frame just before it is sent. */
  fillFrame: (frame: Frame) => void
  /** Size of a frame on the wire, in bytes. */
  sizeOf: (frame: Frame) => number
  /** Hands a sent frame over for delivery after a delay. */
  deliver: (frame: Frame, delayMs: number, bytes: number) => void
}

/** Sends the frames of one side of a session; changes that are added before a frame is sent share it. */
export class FrameSender<Frame> {
  /** When the last frame was sent. */
  sentAt: number
  private pending: Frame | undefined
  private lastArrivalAt = 0

  constructor (private readonly options: FrameSenderOptions<Frame>) {
    this.sentAt = options.clock.now()
  }

  /** Adds a change to the next frame. */
  add = (change: (frame: Frame) => void): void => {
    const { process, cpuMs, createFrame } = this.options
    const isFirst = this.pending === undefined
    this.pending ??= createFrame()
    change(this.pending)
    if (isFirst) process.execute(cpuMs, () => this.flush())
  }

  private flush (): void {
    const { clock, process, delayMs, fillFrame, sizeOf, deliver } = this.options
    const frame = this.pending!
    this.pending = undefined
    fillFrame(frame)
    this.sentAt = clock.now()
    // Frames share one stream and arrive in order.
    const bytes = sizeOf(frame)
    this.lastArrivalAt = Math.max(clock.now() + process.send(bytes) + delayMs, this.lastArrivalAt)
    deliver(frame, this.lastArrivalAt - clock.now(), bytes)
  }
}
