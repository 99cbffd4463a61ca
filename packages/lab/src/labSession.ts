import { create, toBinary } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import type { AddToFrame, AgentLink, LeasedAgent } from '@hazellift/coordination'
import { AgentFrameSchema, EntryFrameSchema, HelloSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { FrameSender } from './frameSender.js'
import type { LabAgent, LabEntry, LinkTimes, SideTimes } from './labLink.js'
import type { LabProcess } from './labProcess.js'

/** What a session needs. */
export interface LabSessionOptions {
  world: Clock
  agent: LabAgent
  entry: LabEntry
  times: LinkTimes
  /** Time of the way. */
  delayMs: number
  /** True while nothing arrives, no end of a connection either. */
  isSilent: () => boolean
  /** A frame is on its way; `fn` reads it. */
  arrive: (delayMs: number, bytes: number, to: LabProcess, fn: () => void) => void
  /** Both sides have ended. */
  onOver: () => void
}

/** One side, as its process sees it. */
interface Side {
  isOpen: boolean
  readAt: number
  process: LabProcess
  times: SideTimes
  /** True while orders are out. */
  isBusy: () => boolean
  /** Tells the program that the session has ended. */
  onEnd: () => void
}

/** How often silence is looked for. */
const WATCH_MS = 125
/** How often a session that is not wanted any more is looked at. */
const RETIRE_CHECK_MS = 250

/** One session of an agent with an entry, from its dialling until both sides have ended. */
export class LabSession {
  private readonly agentSide: Side
  private readonly entrySide: Side
  private readonly toEntry: FrameSender<AgentFrame>
  private readonly toAgent: FrameSender<EntryFrame>
  private readonly link: AgentLink
  private handle: LeasedAgent | undefined
  private acked = 0n

  constructor (private readonly options: LabSessionOptions) {
    const { world, agent, entry, times, delayMs } = options
    const now = world.now()
    this.agentSide = {
      isOpen: true,
      readAt: now,
      process: agent.process,
      times: times.agent,
      isBusy: () => agent.host.isBusyWith(entry.incarnation),
      onEnd: () => agent.host.closeSession(entry.incarnation, this.add)
    }
    this.entrySide = {
      isOpen: true,
      readAt: now,
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
    const common = { world, costMs: times.frameCostMs, delayMs }
    this.toEntry = new FrameSender<AgentFrame>({
      ...common,
      process: agent.process,
      empty: () => create(AgentFrameSchema),
      stamp: (frame) => { if (this.agentSide.isOpen) agent.host.fillFrame(entry.incarnation, frame) },
      bytesOf: (frame) => frameBytes + toBinary(AgentFrameSchema, frame).length,
      deliver: (frame, ms, bytes) => options.arrive(ms, bytes, entry.process, () => this.atEntry(frame))
    })
    this.toAgent = new FrameSender<EntryFrame>({
      ...common,
      process: entry.process,
      empty: () => create(EntryFrameSchema),
      stamp: (frame) => this.stamp(frame),
      bytesOf: (frame) => frameBytes + toBinary(EntryFrameSchema, frame).length,
      deliver: (frame, ms, bytes) => options.arrive(ms, bytes, agent.process, () => this.atAgent(frame))
    })
    agent.host.openSession(entry.incarnation, this.add)
    this.add((frame) => { frame.hello = create(HelloSchema, { agentId: agent.id, incarnation: agent.incarnation, zone: agent.zone }) })
    for (const side of [this.agentSide, this.entrySide]) this.watch(side)
    this.keepAlive(this.agentSide, this.toEntry)
    this.keepAlive(this.entrySide, this.toAgent)
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

  private stamp (frame: EntryFrame): void {
    frame.ackedSeq = this.acked
    if (this.handle !== undefined && this.entrySide.isOpen) this.options.entry.dispatcher.sessions.fillFrame(this.handle, frame)
  }

  private atEntry (frame: AgentFrame): void {
    if (!this.entrySide.isOpen) return
    const { sessions } = this.options.entry.dispatcher
    this.entrySide.readAt = this.options.world.now()
    if (frame.hello !== undefined) this.handle = sessions.open(frame.hello, this.link)
    if (this.handle !== undefined) sessions.onFrame(this.handle, this.link, frame)
  }

  private atAgent (frame: EntryFrame): void {
    if (!this.agentSide.isOpen) return
    const { agent, entry, world } = this.options
    this.agentSide.readAt = world.now()
    agent.host.onFrame(entry.incarnation, this.add, frame)
  }

  private end (side: Side): void {
    if (!side.isOpen) return
    const { world, delayMs, isSilent, onOver } = this.options
    const other = side === this.agentSide ? this.entrySide : this.agentSide
    side.isOpen = false
    if (side.process.isUp) side.onEnd()
    // A process that stands still hears of an end later; one that is gone has ended its side itself.
    const hear = (): void => other.process.isUp ? other.process.run(() => this.end(other)) : this.end(other)
    if (other.isOpen && !isSilent()) world.after(delayMs, hear)
    if (!other.isOpen) onOver()
  }

  private timesOf (side: Side): SideTimes['busy'] {
    return side.isBusy() ? side.times.busy : side.times.idle
  }

  private watch (side: Side): void {
    const { world } = this.options
    if (!side.isOpen || !side.process.isUp) return
    const { timeoutMs } = this.timesOf(side)
    if (world.now() - side.readAt > timeoutMs) return this.end(side)
    side.process.clock.after(WATCH_MS, () => this.watch(side))
  }

  /** Looks as often as a busy session must show that it lives. */
  private keepAlive (side: Side, sender: Pick<FrameSender<object>, 'sentAt' | 'add'>): void {
    if (!side.isOpen) return
    const quietMs = this.options.world.now() - sender.sentAt
    if (quietMs >= this.timesOf(side).keepAliveMs) sender.add(() => {})
    const { keepAliveMs } = side.times.busy
    side.process.clock.after(quietMs >= keepAliveMs ? keepAliveMs : Math.max(1, keepAliveMs - quietMs), () => this.keepAlive(side, sender))
  }
}
