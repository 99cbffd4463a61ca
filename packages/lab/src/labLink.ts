import type { Clock } from '@hazellift/common'
import type { LeasedDispatcher, LeasedHost } from '@hazellift/coordination'
import type { EntryLocation } from '@hazellift/decisions'
import type { DialHandle } from '@hazellift/sessions'
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

/** How often a side shows that it lives, and how long it bears silence. */
export interface SideTimes {
  busy: { keepAliveMs: number, timeoutMs: number }
  idle: { keepAliveMs: number, timeoutMs: number }
}

/** Times and costs of sessions, in ms. */
export interface LinkTimes {
  sameZoneMs: number
  crossZoneMs: number
  agent: SideTimes
  entry: SideTimes
  /** Processor time for each frame, at the side that sends it and at the one that reads it. */
  frameCostMs: number
  /** Processor time of a new session, at each side. */
  openCostMs: number
  /** Bytes of a frame beside the message: headers of HTTP/2, its envelope, TCP and IP. */
  frameBytes: number
}

/** The same times as on the platform; costs and bytes are assumed, not measured. */
export const LINK_TIMES: LinkTimes = {
  sameZoneMs: 0.2,
  crossZoneMs: 0.5,
  agent: { busy: { keepAliveMs: 150, timeoutMs: 500 }, idle: { keepAliveMs: 300, timeoutMs: 1000 } },
  entry: { busy: { keepAliveMs: 200, timeoutMs: 500 }, idle: { keepAliveMs: 400, timeoutMs: 1000 } },
  frameCostMs: 0.1,
  openCostMs: 2,
  frameBytes: 80
}

/** What a link needs. */
export interface LabLinkOptions {
  world: Clock
  /** The processes at its ends now. */
  agent: () => LabAgent
  entry: () => LabEntry
  /** Entries that the entry lists. */
  listed: () => EntryLocation[]
  times?: LinkTimes
}

/** The way between an agent and an entry, with the session that stands on it. */
export class LabLink {
  /** Nothing arrives, and no end of a connection either. */
  isSilent = false
  /** Frames that were read, and bytes sent, of both sides. */
  frames = 0
  bytes = 0
  private session: LabSession | undefined
  private held: Array<() => void> = []
  private readonly times: LinkTimes

  constructor (private readonly options: LabLinkOptions) {
    this.times = options.times ?? LINK_TIMES
  }

  /** Holds one session, until both sides have ended. */
  dial (handle: DialHandle): Promise<void> {
    const { world, listed } = this.options
    const agent = this.options.agent()
    const entry = this.options.entry()
    return new Promise((resolve) => {
      // A silent link lets the agent wait, a process that is gone refuses at once.
      if (this.isSilent) return world.after(this.times.agent.busy.timeoutMs, resolve)
      world.after(2 * this.delayMs, () => {
        if (!agent.process.isUp || !entry.process.isUp) return resolve()
        for (const { process } of [agent, entry]) process.work(this.times.openCostMs, () => {})
        this.held = []
        this.session = new LabSession({
          world,
          agent,
          entry,
          times: this.times,
          delayMs: this.delayMs,
          isSilent: () => this.isSilent,
          arrive: (delayMs, bytes, to, fn) => this.arrive(delayMs, bytes, to, fn),
          onOver: resolve
        })
        handle.retired.addEventListener('abort', () => this.session?.retire())
        handle.onOpen()
        handle.onEntries(listed())
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
    return this.options.agent().zone === this.options.entry().zone ? this.times.sameZoneMs : this.times.crossZoneMs
  }

  /** A frame arrives, is held up by a silent link, and is read once the process gets to it. */
  private arrive (delayMs: number, bytes: number, to: LabProcess, fn: () => void): void {
    this.bytes += bytes
    const read = (): void => to.receive(bytes, () => to.work(this.times.frameCostMs, () => {
      this.frames++
      fn()
    }))
    this.options.world.after(delayMs, () => { if (this.isSilent) this.held.push(read); else read() })
  }
}
