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
export interface LinkSettings {
  sameZoneMs: number
  crossZoneMs: number
  agent: SideTimes
  entry: SideTimes
  /** Processor time for each frame, at the side that sends it and at the one that reads it. */
  frameCpuMs: number
  /** Processor time of a new session, at each side. */
  openCpuMs: number
  /** Bytes of a frame beside the message: headers of HTTP/2, its envelope, TCP and IP. */
  frameBytes: number
}

/** The same times as on the platform; costs and bytes are assumed, not measured. */
export const LINK_SETTINGS: LinkSettings = {
  sameZoneMs: 0.2,
  crossZoneMs: 0.5,
  agent: { busy: { keepAliveMs: 150, timeoutMs: 500 }, idle: { keepAliveMs: 300, timeoutMs: 1000 } },
  entry: { busy: { keepAliveMs: 200, timeoutMs: 500 }, idle: { keepAliveMs: 400, timeoutMs: 1000 } },
  frameCpuMs: 0.1,
  openCpuMs: 2,
  frameBytes: 80
}

/** What a link needs. */
export interface LabLinkOptions {
  clock: Clock
  /** The processes at its ends now. */
  agent: () => LabAgent
  entry: () => LabEntry
  /** Entries that the entry lists. */
  entryLocations: () => EntryLocation[]
  settings?: LinkSettings
}

/** The way between an agent and an entry, with the session that stands on it. */
export class LabLink {
  /** Nothing arrives, and no end of a connection either. */
  isSilent = false
  /** Frames that were read, and bytes sent, of both sides. */
  frames = 0
  bytes = 0
  private session: LabSession | undefined
  private delayedFrames: Array<() => void> = []
  private readonly settings: LinkSettings

  constructor (private readonly options: LabLinkOptions) {
    this.settings = options.settings ?? LINK_SETTINGS
  }

  /** Holds one session, until both sides have ended. */
  dial (handle: DialHandle): Promise<void> {
    const { clock: world, entryLocations: listed } = this.options
    const agent = this.options.agent()
    const entry = this.options.entry()
    return new Promise((resolve) => {
      // A silent link lets the agent wait, a process that is gone refuses at once.
      if (this.isSilent) return world.after(this.settings.agent.busy.timeoutMs, resolve)
      world.after(2 * this.delayMs, () => {
        if (!agent.process.isUp || !entry.process.isUp) return resolve()
        for (const { process } of [agent, entry]) process.execute(this.settings.openCpuMs, () => {})
        this.delayedFrames = []
        this.session = new LabSession({
          clock: world,
          agent,
          entry,
          settings: this.settings,
          delayMs: this.delayMs,
          isSilent: () => this.isSilent,
          deliver: (delayMs, bytes, to, fn) => this.deliver(delayMs, bytes, to, fn),
          onEnded: resolve
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
    if (!isSilent) for (const fn of this.delayedFrames.splice(0)) fn()
  }

  private get delayMs (): number {
    return this.options.agent().zone === this.options.entry().zone ? this.settings.sameZoneMs : this.settings.crossZoneMs
  }

  /** A frame arrives, is held up by a silent link, and is read once the process gets to it. */
  private deliver (delayMs: number, bytes: number, to: LabProcess, fn: () => void): void {
    this.bytes += bytes
    const read = (): void => to.receive(bytes, () => to.execute(this.settings.frameCpuMs, () => {
      this.frames++
      fn()
    }))
    this.options.clock.after(delayMs, () => { if (this.isSilent) this.delayedFrames.push(read); else read() })
  }
}
