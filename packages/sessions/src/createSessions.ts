import { setImmediate as yieldTurn } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect'
import { createLogger, errorMessage, systemClock } from '@hazellift/common'
import { Outbox } from '@hazellift/coordination'
import type { AgentLink, SessionDispatcher } from '@hazellift/coordination'
import { EntryFrameSchema, EntryListSchema, WelcomeSchema } from '@hazellift/protocol'
import type { AgentFrame, EntryFrame, SessionService } from '@hazellift/protocol'
import type { EntryLocation } from '@hazellift/decisions'
import { KeepAliveMonitor } from './keepAliveMonitor.js'
import type { KeepAliveOptions, SessionWatch, Silence } from './types.js'

/** Dependencies of the sessions of an entry. */
export interface SessionOptions<Agent> {
  /** Handles what agents send. */
  dispatcher: SessionDispatcher<Agent>
  /** Called with every frame received and every frame sent, and when a session timed out, for metrics. */
  observe: { read: (frame: AgentFrame) => void, sent: (frame: EntryFrame) => void, timedOut?: (silence: Silence) => void, outdated?: () => void }
  entryId: string
  incarnation: string
  /** Keep-alive intervals and timeouts. */
  keepAlive: KeepAliveOptions
  /** Entries that agents may dial; sent to each agent. */
  entries: () => EntryLocation[]
}

/** The open sessions of an entry with its agents. */
export interface Sessions {
  /** Accepts sessions of agents. */
  service: ServiceImpl<typeof SessionService>
  /** Sends all agents the current list of entries, after a short delay. */
  broadcastEntries: () => void
  /** Notifies all agents that this entry accepts no new work. */
  leave: () => void
  /** Ends all sessions once their pending frames are sent. */
  closeAll: () => void
}

interface Session<Agent> {
  link: AgentLink
  /** Set once the agent's hello was received. */
  agent: Agent | undefined
  /** True once the link was closed: a frame that is still to be sent then carries no state, as another session may have begun. */
  isClosed: boolean
  /** True once the dispatcher was notified of the end. */
  hasEnded: boolean
  /** When it began, before the welcome was sent, on the steady clock. */
  welcomedAt: number
  /** Number of the last result received; acknowledged with the next frame. */
  ackedSeq: bigint
}

const log = createLogger('entry:session')
const newFrame = (): EntryFrame => create(EntryFrameSchema)

/** Delay that collects several changes into one list: without it, the start of a fleet of 35 entries sends each agent 35 lists. */
const BROADCAST_DELAY_MS = 200

/** Serves the sessions of agents, each by one call of `open`. */
class AgentSessions<Agent extends { agentId: string }> implements Sessions {
  private readonly outboxes = new Set<Outbox<EntryFrame>>()
  private readonly keepAliveMonitor: KeepAliveMonitor
  private broadcastTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: SessionOptions<Agent>) {
    this.keepAliveMonitor = new KeepAliveMonitor(options.keepAlive)
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

  private addToAll (change: (frame: EntryFrame) => void): void {
    for (const outbox of this.outboxes) outbox.add(change)
  }

  private readonly addEntryList = (frame: EntryFrame): void => {
    frame.entries = create(EntryListSchema, { entries: this.options.entries() })
  }

  private async * open (frames: AsyncIterable<AgentFrame>, context: HandlerContext): AsyncGenerator<EntryFrame> {
    const { dispatcher, observe } = this.options
    const welcomedAt = systemClock.now()
    const outbox = this.openOutbox()
    const link: AgentLink = {
      add: (change) => outbox.add(change),
      acknowledge: (seq) => { session.ackedSeq = seq },
      close: () => {
        session.isClosed = true
        outbox.close()
      }
    }
    const session: Session<Agent> = { link, agent: undefined, isClosed: false, hasEnded: false, welcomedAt, ackedSeq: 0n }
    const watch: SessionWatch = this.keepAliveMonitor.watch({
      isBusy: () => session.agent === undefined || dispatcher.isBusyWith?.(session.agent) !== false,
      sendKeepAlive: () => link.add(() => {}),
      onTimeout: (silence) => {
        watch.stop()
        log('session_timed_out', { agent: session.agent?.agentId, silent: Math.round(silence.silentMs), busy: silence.isBusy })
        observe.timedOut?.(silence)
        link.close()
        // Not only at the end of the frames: a connection that takes no more of them delays that end for as long as it lasts.
        this.end(session)
      }
    })
    context.signal.addEventListener('abort', link.close)
    void this.read(frames, session, watch.onReceived)
    try {
      for await (const frame of outbox) {
        frame.ackedSeq = session.ackedSeq
        if (session.agent !== undefined && !session.isClosed) dispatcher.fillFrame?.(session.agent, frame)
        observe.sent(frame)
        watch.onSent()
        yield frame
      }
    } finally {
      watch.stop()
      this.outboxes.delete(outbox)
      this.end(session)
    }
  }

  /** Notifies the dispatcher, once, that a session has ended. */
  private end (session: Session<Agent>): void {
    if (session.hasEnded || session.agent === undefined) return
    session.hasEnded = true
    this.options.dispatcher.closed(session.agent, session.link)
  }

  /** Opens the outbox of a new session, with the welcome and the list of entries in its first frame. */
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

  private async read (frames: AsyncIterable<AgentFrame>, session: Session<Agent>, onReceived: () => void): Promise<void> {
    const { dispatcher, observe } = this.options
    try {
      for await (const frame of frames) {
        onReceived()
        observe.read(frame)
        if (frame.hello !== undefined) {
          // Nothing that is sent on this session reaches the agent, and its end would not be noticed again.
          if (session.isClosed) return
          // The hello was delayed, and what it says the agent has is from before the present session or process.
          if (dispatcher.isOutdated(frame.hello, frame.stampMs, session.welcomedAt)) {
            log('hello_outdated', { agent: frame.hello.agentId })
            return observe.outdated?.()
          }
          session.agent = dispatcher.open(frame.hello, session.link)
        }
        if (frame.probe) session.link.add(() => {})
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
 * Creates the sessions of an entry with its agents.
 *
 * @param options - their dependencies
 */
export const createSessions = <Agent extends { agentId: string }>(options: SessionOptions<Agent>): Sessions => new AgentSessions(options)
