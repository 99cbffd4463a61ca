import { create, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import type { AddToFrame, AgentLink, LeasedAgent } from '@hazellift/coordination'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { FrameSender } from './frameSender.js'
import type { LabAgent, LabEntry, LinkSettings, SideTimes } from './labLink.js'
import type { LabProcess } from './labProcess.js'

/** What a session needs. */
export interface LabSessionOptions {
  clock: Clock
  agent: LabAgent
  entry: LabEntry
  settings: LinkSettings
  /** Time of the way. */
  delayMs: number
  /** True while nothing arrives, no end of a connection either. */
  isSilent: () => boolean
  /** A frame is on its way; `fn` reads it. */
  deliver: (delayMs: number, bytes: number, to: LabProcess, fn: () => void) => void
  /** Both sides have ended. */
  onEnded: () => void
}

/** One side, as its process sees it. */
interface SessionSide {
  isOpen: boolean
  receivedAt: number
  process: LabProcess
  times: SideTimes
  /** True while orders are out. */
  isBusy: () => boolean
  /** Tells the program that the session has ended. */
  onEnd: () => void
}

/** How often silence is looked for. */
const TIMEOUT_CHECK_MS = 125
/** How often a session that is not wanted any more is looked at. */
const RETIRE_CHECK_MS = 250

/** One session of an agent with an entry, from its dialling until both sides have ended. */
export class LabSession {
  private readonly agentSide: SessionSide
  private readonly entrySide: SessionSide
  private readonly toEntry: FrameSender<AgentFrame>
  private readonly toAgent: FrameSender<EntryFrame>
  private readonly link: AgentLink
  private handle: LeasedAgent | undefined
  private acked = 0n

  constructor (private readonly options: LabSessionOptions) {
    const { clock: world, agent, entry, settings: times, delayMs } = options
    const now = world.now()
    this.agentSide = {
      isOpen: true,
      receivedAt: now,
      process: agent.process,
      times: times.agent,
      isBusy: () => agent.host.isBusyWith(entry.incarnation),
      onEnd: () => agent.host.closeSession(entry.incarnation, this.add)
    }
    this.entrySide = {
      isOpen: true,
      receivedAt: now,
      process: entry.process,
      times: times.entry,
      isBusy: () => this.handle !== undefined && entry.dispatcher.sessions.isBusyWith(this.handle),
      onEnd: () => { if (this.handle !== undefined) entry.dispatcher.sessions.closed(this.handle, this.link) }
    }
    this.link = {
      add: (change) => { if (this.entrySide.isOpen) this.toAgent.add(change) },
      acknowledge: (seq) => { this.acked = seq },
      close: () => this.end(this.entrySide)
    }
    const { frameBytes } = times
    const common = { world, costMs: times.frameCpuMs, delayMs }
    this.toEntry = new FrameSender<AgentFrame>({
      ...common,
      process: agent.process,
      createFrame: () => create(AgentFrameSchema),
      fillFrame: (frame) => { if (this.agentSide.isOpen) agent.host.fillFrame(entry.incarnation, frame) },
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

  /** The agent does not want it any more: it ends once nothing of the entry is left there. */
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

  /** A process has ended: its side is gone, and the other one hears of it. */
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
    const { agent, entry, clock: world } = this.options
    this.agentSide.receivedAt = world.now()
    agent.host.onFrame(entry.incarnation, this.add, frame)
  }

  private end (side: SessionSide): void {
    if (!side.isOpen) return
    const { clock: world, delayMs, isSilent, onEnded: onOver } = this.options
    const other = side === this.agentSide ? this.entrySide : this.agentSide
    side.isOpen = false
    if (side.process.isUp) side.onEnd()
    // A process that stands still hears of an end later; one that is gone has ended its side itself.
    const endOther = (): void => other.process.isUp ? other.process.run(() => this.end(other)) : this.end(other)
    if (other.isOpen && !isSilent()) world.after(delayMs, endOther)
    if (!other.isOpen) onOver()
  }

  private sideTimes (side: SessionSide): SideTimes['busy'] {
    return side.isBusy() ? side.times.busy : side.times.idle
  }

  private checkTimeout (side: SessionSide): void {
    const { clock: world } = this.options
    if (!side.isOpen || !side.process.isUp) return
    const { timeoutMs } = this.sideTimes(side)
    if (world.now() - side.receivedAt > timeoutMs) return this.end(side)
    side.process.clock.after(TIMEOUT_CHECK_MS, () => this.checkTimeout(side))
  }

  /** Looks as often as a busy session must show that it lives. */
  private sendKeepAlives (side: SessionSide, sender: Pick<FrameSender<object>, 'sentAt' | 'add'>): void {
    if (!side.isOpen) return
    const sinceSentMs = this.options.clock.now() - sender.sentAt
    if (sinceSentMs >= this.sideTimes(side).keepAliveMs) sender.add(() => {})
    const { keepAliveMs } = side.times.busy
    side.process.clock.after(sinceSentMs >= keepAliveMs ? keepAliveMs : Math.max(1, keepAliveMs - sinceSentMs), () => this.sendKeepAlives(side, sender))
  }
}
