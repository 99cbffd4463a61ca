import { create, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import type { AddToFrame, AgentLink, LeasedAgent } from '@hazellift/coordination'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { FrameSender } from './frameSender.js'
import type { LabAgent, LabEntry, LinkSettings, SideTimes } from './labLink.js'
import type { LabProcess } from './labProcess.js'

/** Options of a `LabSession`. */
export interface LabSessionOptions {
  clock: Clock
  agent: LabAgent
  entry: LabEntry
  settings: LinkSettings
  /** One-way network delay. */
  delayMs: number
  /** True while the link delivers nothing, not even the end of a connection. */
  isSilent: () => boolean
  /** Delivers a frame after a delay; `fn` reads it. */
  deliver: (delayMs: number, bytes: number, to: LabProcess, fn: () => void) => void
  /** Called once both sides have ended. */
  onEnded: () => void
}

/** State of the session at one of its two processes. */
interface SessionSide {
  isOpen: boolean
  receivedAt: number
  process: LabProcess
  times: SideTimes
  /** True while tasks are outstanding. */
  isBusy: () => boolean
  /** Notifies the process's code that the session has ended. */
  onEnd: () => void
}

/** How often a side checks whether the other has timed out. */
const TIMEOUT_CHECK_MS = 125
/** How often a retired session is checked for outstanding tasks. */
const RETIRE_CHECK_MS = 250

/** A session of an agent with an entry, from its opening until both sides have ended. */
export class LabSession {
  private readonly agentSide: SessionSide
  private readonly entrySide: SessionSide
  private readonly toEntry: FrameSender<AgentFrame>
  private readonly toAgent: FrameSender<EntryFrame>
  private readonly link: AgentLink
  private handle: LeasedAgent | undefined
  private acked = 0n

  constructor (private readonly options: LabSessionOptions) {
    const { clock, agent, entry, settings, delayMs } = options
    const now = clock.now()
    this.agentSide = {
      isOpen: true,
      receivedAt: now,
      process: agent.process,
      times: settings.agent,
      isBusy: () => agent.host.isBusyWith(entry.incarnation),
      onEnd: () => agent.host.closeSession(entry.incarnation, this.add)
    }
    this.entrySide = {
      isOpen: true,
      receivedAt: now,
      process: entry.process,
      times: settings.entry,
      isBusy: () => this.handle !== undefined && entry.dispatcher.sessions.isBusyWith(this.handle),
      onEnd: () => { if (this.handle !== undefined) entry.dispatcher.sessions.closed(this.handle, this.link) }
    }
    this.link = {
      add: (change) => { if (this.entrySide.isOpen) this.toAgent.add(change) },
      acknowledge: (seq) => { this.acked = seq },
      close: () => this.end(this.entrySide)
    }
    const { frameBytes } = settings
    const common = { clock, cpuMs: settings.frameCpuMs, delayMs }
    this.toEntry = new FrameSender<AgentFrame>({
      ...common,
      process: agent.process,
      createFrame: () => create(AgentFrameSchema),
      fillFrame: (frame) => { if (this.agentSide.isOpen) agent.host.fillFrame(entry.incarnation, this.add, frame) },
      sizeOf: (frame) => frameBytes + toBinary(AgentFrameSchema, frame).length,
      deliver: (frame, ms, bytes) => options.deliver(ms, bytes, entry.process, () => this.onFrameAtEntry(frame))
    })
    this.toAgent = new FrameSender<EntryFrame>({
      ...common,
      process: entry.process,
      createFrame: () => create(EntryFrameSchema),
      fillFrame: (frame) => this.fillFrame(frame),
      sizeOf: (frame) => frameBytes + toBinary(EntryFrameSchema, frame).length,
      deliver: (frame, ms, bytes) => options.deliver(ms, bytes, agent.process, () => this.onFrameAtAgent(frame))
    })
    agent.host.openSession(entry.incarnation, this.add)
    this.add((frame) => { frame.hello = create(HelloSchema, { agentId: agent.id, incarnation: agent.incarnation, zone: agent.zone }) })
    for (const side of [this.agentSide, this.entrySide]) this.checkTimeout(side)
    this.sendKeepAlives(this.agentSide, this.toEntry)
    this.sendKeepAlives(this.entrySide, this.toAgent)
  }

  /** Retires the session: the agent ends it once no tasks of the entry are outstanding there. */
  retire (): void {
    const { agent, entry } = this.options
    agent.host.retireSession(entry.incarnation, this.add)
    const check = (): void => {
      if (!this.agentSide.isOpen) return
      if (agent.host.isBusyWith(entry.incarnation)) agent.process.clock.after(RETIRE_CHECK_MS, check)
      else this.end(this.agentSide)
    }
    agent.process.clock.after(RETIRE_CHECK_MS, check)
  }

  /** Ends both sides, after the process of one of them has ended. */
  reset (): void {
    for (const side of [this.agentSide, this.entrySide]) this.end(side)
  }

  private readonly add: AddToFrame = (change) => { if (this.agentSide.isOpen) this.toEntry.add(change) }

  private fillFrame (frame: EntryFrame): void {
    frame.ackedSeq = this.acked
    if (this.handle !== undefined && this.entrySide.isOpen) this.options.entry.dispatcher.sessions.fillFrame(this.handle, frame)
  }

  private onFrameAtEntry (frame: AgentFrame): void {
    if (!this.entrySide.isOpen) return
    const { sessions } = this.options.entry.dispatcher
    this.entrySide.receivedAt = this.options.clock.now()
    if (frame.hello !== undefined) this.handle = sessions.open(frame.hello, this.link)
    if (this.handle !== undefined) sessions.onFrame(this.handle, this.link, frame)
  }

  private onFrameAtAgent (frame: EntryFrame): void {
    if (!this.agentSide.isOpen) return
    const { agent, entry, clock } = this.options
    this.agentSide.receivedAt = clock.now()
    agent.host.onFrame(entry.incarnation, this.add, frame)
  }

  private end (side: SessionSide): void {
    if (!side.isOpen) return
    const { clock, delayMs, isSilent, onEnded } = this.options
    const other = side === this.agentSide ? this.entrySide : this.agentSide
    side.isOpen = false
    if (side.process.isUp) side.onEnd()
    // A suspended process is notified when it resumes; the side of a process that is down ends without notice.
    const endOther = (): void => other.process.isUp ? other.process.run(() => this.end(other)) : this.end(other)
    if (other.isOpen && !isSilent()) clock.after(delayMs, endOther)
    if (!other.isOpen) onEnded()
  }

  private sideTimes (side: SessionSide): SideTimes['busy'] {
    return side.isBusy() ? side.times.busy : side.times.idle
  }

  private checkTimeout (side: SessionSide): void {
    const { clock } = this.options
    if (!side.isOpen || !side.process.isUp) return
    const { timeoutMs } = this.sideTimes(side)
    if (clock.now() - side.receivedAt > timeoutMs) return this.end(side)
    side.process.clock.after(TIMEOUT_CHECK_MS, () => this.checkTimeout(side))
  }

  /** Sends keep-alives; checks at the interval of a busy session, as the session can become busy at any time. */
  private sendKeepAlives (side: SessionSide, sender: Pick<FrameSender<object>, 'sentAt' | 'add'>): void {
    if (!side.isOpen) return
    const sinceSentMs = this.options.clock.now() - sender.sentAt
    if (sinceSentMs >= this.sideTimes(side).keepAliveMs) sender.add(() => {})
    const { keepAliveMs } = side.times.busy
    side.process.clock.after(sinceSentMs >= keepAliveMs ? keepAliveMs : Math.max(1, keepAliveMs - sinceSentMs), () => this.sendKeepAlives(side, sender))
  }
}
