import type { Clock } from '@hazellift/common'
import type { LeasedDispatcher, LeasedHost } from '@hazellift/coordination'
import type { EntryLocation } from '@hazellift/decisions'
import type { DialHandle } from '@hazellift/sessions'
import type { LabProcess } from './labProcess.js'
import { LabSession } from './labSession.js'

/** An entry's process and what runs in it. */
export interface LabEntry {
  process: LabProcess
  zone: string
  incarnation: string
  dispatcher: LeasedDispatcher
}

/** An agent's process and what runs in it. */
export interface LabAgent {
  process: LabProcess
  id: string
  zone: string
  incarnation: string
  host: LeasedHost
}

/** Keep-alive interval of a side, and the silence of the other side after which it ends the session; `busy` applies while tasks are outstanding. */
export interface SideTimes {
  busy: { keepAliveMs: number, timeoutMs: number }
  idle: { keepAliveMs: number, timeoutMs: number }
}

/** Delays, timeouts and costs of sessions; times in ms. */
export interface LinkSettings {
  sameZoneMs: number
  crossZoneMs: number
  agent: SideTimes
  entry: SideTimes
  /** CPU time for each frame, at the side that sends it and again at the one that reads it. */
  frameCpuMs: number
  /** CPU time of a new session at each side. */
  openCpuMs: number
  /** Overhead of a frame in bytes: its envelope and the headers of HTTP/2, TCP and IP. */
  frameBytes: number
}

/** The times of the platform; costs and bytes are estimates. */
export const LINK_SETTINGS: LinkSettings = {
  sameZoneMs: 0.2,
  crossZoneMs: 0.5,
  agent: { busy: { keepAliveMs: 150, timeoutMs: 500 }, idle: { keepAliveMs: 300, timeoutMs: 1000 } },
  entry: { busy: { keepAliveMs: 200, timeoutMs: 500 }, idle: { keepAliveMs: 400, timeoutMs: 1000 } },
  frameCpuMs: 0.1,
  openCpuMs: 2,
  frameBytes: 80
}

/** Options of a `LabLink`. */
export interface LabLinkOptions {
  clock: Clock
  /** The current processes at the two ends. */
  agent: () => LabAgent
  entry: () => LabEntry
  /** The entries that the entry reports to the agent. */
  entryLocations: () => EntryLocation[]
  settings?: LinkSettings
}

/** The network link between an agent and an entry, with their current session. */
export class LabLink {
  /** If true, nothing is delivered, not even the end of a connection. */
  isSilent = false
  /** Frames read and bytes sent, by both sides together. */
  frames = 0
  bytes = 0
  private session: LabSession | undefined
  private delayedFrames: Array<() => void> = []
  private readonly settings: LinkSettings

  constructor (private readonly options: LabLinkOptions) {
    this.settings = options.settings ?? LINK_SETTINGS
  }

  /** Opens a session; resolves once both sides have ended it, or if it cannot be opened. */
  dial (handle: DialHandle): Promise<void> {
    const { clock, entryLocations } = this.options
    const agent = this.options.agent()
    const entry = this.options.entry()
    return new Promise((resolve) => {
      // On a silent link the dial times out; a process that is down refuses at once.
      if (this.isSilent) return clock.after(this.settings.agent.busy.timeoutMs, resolve)
      clock.after(2 * this.delayMs, () => {
        if (!agent.process.isUp || !entry.process.isUp) return resolve()
        for (const { process } of [agent, entry]) process.execute(this.settings.openCpuMs, () => {})
        this.delayedFrames = []
        this.session = new LabSession({
          clock,
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
        handle.onEntries(entryLocations())
      })
    })
  }

  /** Resets the connection, after the process at one end has ended. */
  reset (): void {
    this.session?.reset()
  }

  /** Stops delivery, or resumes it and delivers the frames that were delayed. */
  setSilent (isSilent: boolean): void {
    this.isSilent = isSilent
    if (!isSilent) for (const fn of this.delayedFrames.splice(0)) fn()
  }

  private get delayMs (): number {
    return this.options.agent().zone === this.options.entry().zone ? this.settings.sameZoneMs : this.settings.crossZoneMs
  }

  /** Delivers a frame after its delay, or once the link is no longer silent; the process reads it when it has time. */
  private deliver (delayMs: number, bytes: number, to: LabProcess, fn: () => void): void {
    this.bytes += bytes
    const receive = (): void => to.receive(bytes, () => to.execute(this.settings.frameCpuMs, () => {
      this.frames++
      fn()
    }))
    this.options.clock.after(delayMs, () => { if (this.isSilent) this.delayedFrames.push(receive); else receive() })
  }
}
