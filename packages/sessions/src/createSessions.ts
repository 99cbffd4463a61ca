import { setImmediate as yieldTurn } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import { createLogger, errorMessage } from '@hazellift/common'
import { Outbox } from '@hazellift/coordination'
import type { AgentLink, SessionDispatcher } from '@hazellift/coordination'
import { EntryFrameSchema, EntryListSchema, WelcomeSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, SessionService } from '@hazellift/protocol'
import type { EntryLocation } from '@hazellift/decisions'
import { KeepAliveMonitor } from './keepAliveMonitor.js'
import type { KeepAliveOptions } from './keepAliveMonitor.js'

/** What sessions need. */
export interface SessionOptions<Agent> {
  dispatcher: SessionDispatcher<Agent>
  /** Told of every frame read, and of every one sent. */
  observe: { read: (frame: AgentFrame) => void, sent: (frame: EntryFrame) => void }
  entryId: string
  incarnation: string
  /** How often agents hear of this entry, and how long one may be silent. */
  keepAlive: KeepAliveOptions
  /** Entries that agents may dial. */
  entries: () => EntryLocation[]
}

/** Sessions open at this entry. */
export interface Sessions {
  service: ServiceImpl<typeof SessionService>
  /** Tells all agents which entries live. */
  broadcastEntries: () => void
  /** Tells all agents that this entry takes no new work. */
  leave: () => void
  closeAll: () => void
}

interface Session<Agent> {
  link: AgentLink
  /** Set once the agent said hello. */
  agent: Agent | undefined
  /** The last result that arrived; goes out with the next frame. */
  ackedSeq: bigint
}

const log = createLogger('entry:session')
const newFrame = (): EntryFrame => create(EntryFrameSchema)

/** Entries that come or go together are told of in one list: at the start of a fleet of 35, each of them would be one more. */
const BROADCAST_DELAY_MS = 200

/** The agents' side of an entry's server: one task a session. */
class AgentSessions<Agent extends { agentId: string }> implements Sessions {
  private readonly outboxes = new Set<Outbox<EntryFrame>>()
  private readonly pulse: KeepAliveMonitor
  private broadcastTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: SessionOptions<Agent>) {
    this.pulse = new KeepAliveMonitor(options.keepAlive)
  }

  readonly service: Sessions['service'] = { open: (frames, context) => this.open(frames, context) }

  broadcastEntries = (): void => {
    this.broadcastTimer ??= setTimeout(() => {
      this.broadcastTimer = undefined
      this.addToAll(this.addEntryList)
    }, BROADCAST_DELAY_MS)
  }

  leave = (): void => this.addToAll((frame) => { frame.leaving = true })

  closeAll = (): void => {
    clearTimeout(this.broadcastTimer)
    for (const outbox of this.outboxes) outbox.close()
  }

  private addToAll (add: (frame: EntryFrame) => void): void {
    for (const outbox of this.outboxes) outbox.add(add)
  }

  private readonly addEntryList = (frame: EntryFrame): void => {
    frame.entries = create(EntryListSchema, { entries: this.options.entries() })
  }

  private async * open (frames: AsyncIterable<AgentFrame>, context: HandlerContext): AsyncGenerator<EntryFrame> {
    const { dispatcher, observe } = this.options
    const outbox = this.openOutbox()
    const link: AgentLink = { add: (add) => outbox.add(add), acknowledge: (seq) => { session.ackedSeq = seq }, close: () => outbox.close() }
    const session: Session<Agent> = { link, agent: undefined, ackedSeq: 0n }
    const watched = this.pulse.watch({
      isBusy: () => session.agent === undefined || dispatcher.isBusyWith?.(session.agent) !== false,
      sendKeepAlive: () => link.add(() => {}),
      onTimeout: link.close
    })
    context.signal.addEventListener('abort', link.close)
    void this.read(frames, session, watched.onReceived)
    try {
      for await (const frame of outbox) {
        frame.ackedSeq = session.ackedSeq
        if (session.agent !== undefined) dispatcher.fillFrame?.(session.agent, frame)
        observe.sent(frame)
        watched.onSent()
        yield frame
      }
    } finally {
      watched.stop()
      this.outboxes.delete(outbox)
      if (session.agent !== undefined) dispatcher.closed(session.agent, link)
    }
  }

  /** The first frame of a session waits in its outbox. */
  private openOutbox (): Outbox<EntryFrame> {
    const { entryId, incarnation } = this.options
    const outbox = new Outbox(newFrame, () => yieldTurn())
    this.outboxes.add(outbox)
    outbox.add((frame) => {
      frame.welcome = create(WelcomeSchema, { entryId, incarnation })
      this.addEntryList(frame)
    })
    return outbox
  }

  private async read (frames: AsyncIterable<AgentFrame>, session: Session<Agent>, seen: () => void): Promise<void> {
    const { dispatcher, observe } = this.options
    try {
      for await (const frame of frames) {
        seen()
        observe.read(frame)
        if (frame.hello !== undefined) session.agent = dispatcher.open(frame.hello, session.link)
        if (session.agent !== undefined) dispatcher.onFrame(session.agent, session.link, frame)
      }
    } catch (err) {
      log('session_broken', { agent: session.agent?.agentId, error: errorMessage(err) })
    } finally {
      session.link.close()
    }
  }
}

/**
 * Sessions of an entry with its agents.
 *
 * @param options - what sessions need
 */
export const createSessions = <Agent extends { agentId: string }>(options: SessionOptions<Agent>): Sessions => new AgentSessions(options)
