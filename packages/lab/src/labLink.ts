import type { Clock } from '@hazellift/common'
import type { LeasedDispatcher, LeasedHost } from '@hazellift/coordination'
import type { LabProcess } from './labProcess.js'
import { LabSession } from './labSession.js'

/** An entry's process. */
export interface LabEntry {
  process: LabProcess
  zone: string
  incarnation: string
  dispatcher: LeasedDispatcher
}

/** An agent's process. */
export interface LabAgent {
  process: LabProcess
  id: string
  zone: string
  incarnation: string
  host: LeasedHost
}

/** Times and costs of sessions, in ms. */
export interface LinkTimes {
  sameZoneMs: number
  crossZoneMs: number
  keepAliveMs: number
  entryKeepAliveMs: number
  timeoutMs: number
  redialMs: number
  /** Processor time for each frame, at the side that sends it and at the one that reads it. */
  frameCostMs: number
}

export const LINK_TIMES: LinkTimes = {
  sameZoneMs: 0.2, crossZoneMs: 0.5, keepAliveMs: 150, entryKeepAliveMs: 200, timeoutMs: 500, redialMs: 50, frameCostMs: 0.1
}

/** The session of an agent with an entry, dialled again whenever it ends. */
export class LabLink {
  /** Nothing arrives, and no end of a connection either. */
  isSilent = false
  /** Frames that were read, of both sides. */
  frames = 0
  private session: LabSession | undefined
  private held: Array<() => void> = []

  constructor (
    private readonly world: Clock,
    readonly agent: () => LabAgent,
    readonly entry: () => LabEntry,
    private readonly times: LinkTimes = LINK_TIMES
  ) {}

  /** Dials until a session stands, and again after it. */
  start (): void {
    const agent = this.agent()
    const entry = this.entry()
    const again = (): void => { this.world.after(this.times.redialMs, () => this.start()) }
    if (this.isSilent || !agent.process.isUp || !entry.process.isUp) return again()
    this.world.after(2 * this.delayMs, () => {
      if (!agent.process.isUp || !entry.process.isUp) return again()
      this.held = []
      this.session = new LabSession({
        world: this.world,
        agent,
        entry,
        times: this.times,
        delayMs: this.delayMs,
        isSilent: () => this.isSilent,
        arrive: (delayMs, to, fn) => this.arrive(delayMs, to, fn),
        onOver: again
      })
    })
  }

  /** A process has ended: its connections are reset. */
  reset (): void {
    this.session?.reset()
  }

  /** The link falls silent, or what was held up arrives. */
  setSilent (isSilent: boolean): void {
    this.isSilent = isSilent
    if (!isSilent) for (const fn of this.held.splice(0)) fn()
  }

  private get delayMs (): number {
    return this.agent().zone === this.entry().zone ? this.times.sameZoneMs : this.times.crossZoneMs
  }

  /** A frame arrives, is held up by a silent link, and is read once the process gets to it. */
  private arrive (delayMs: number, to: LabProcess, fn: () => void): void {
    const read = (): void => to.work(this.times.frameCostMs, () => {
      this.frames++
      fn()
    })
    this.world.after(delayMs, () => { if (this.isSilent) this.held.push(read); else read() })
  }
}
