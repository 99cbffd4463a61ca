import { setImmediate as yieldTurn, setTimeout as delay } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { Interceptor } from '@connectrpc/connect'
import { createLogger, errorMessage } from '@hazellift/common'
import { Outbox } from '@hazellift/coordination'
import type { AddToFrame, SessionHost } from '@hazellift/coordination'
import { AgentFrameSchema, CLUSTER_TOKEN_HEADER, HelloSchema, SessionService } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import type { DialHandle } from './entryDialer.js'
import type { KeepAliveMonitor } from './keepAliveMonitor.js'
import { openConnection } from './openConnection.js'
import type { SessionWatch, Silence } from './types.js'

/** Dependencies of the sessions of an agent. */
export interface DialOptions {
  /** Handles what entries send. */
  host: SessionHost
  agentId: string
  incarnation: string
  zone: string
  clusterToken: string
  /** Watches all sessions of the process. */
  keepAliveMonitor: KeepAliveMonitor
  /** Called for each frame, for metrics. */
  onFrame?: (direction: 'received' | 'sent') => void
  /** Called when a session timed out, for metrics. */
  onTimedOut?: (silence: Silence) => void
}

/** The entry at the other end; its incarnation is empty until its welcome was received. */
interface Peer {
  incarnation: string
}

const log = createLogger('agent:session')

const addToken = (clusterToken: string): Interceptor => (next) => (req) => {
  req.header.set(CLUSTER_TOKEN_HEADER, clusterToken)
  return next(req)
}

/** How often a retired session is checked for tasks of its entry that remain at this agent. */
const RETIRE_CHECK_MS = 250

const openOutbox = (): Outbox<AgentFrame> => new Outbox<AgentFrame>(() => create(AgentFrameSchema), () => yieldTurn())

/** Fills in each frame only when it is sent, so that its timestamp is current. */
async function * filledFrames ({ host, onFrame }: DialOptions, outbox: Outbox<AgentFrame>, peer: Peer, add: AddToFrame, watch: SessionWatch): AsyncGenerator<AgentFrame> {
  for await (const frame of outbox) {
    host.fillFrame(peer.incarnation, add, frame)
    watch.onSent()
    onFrame?.('sent')
    yield frame
  }
}

/** Ends a session that is no longer needed: asks the entry to send no more starts, and waits until its tasks here have ended. */
const retire = async (host: SessionHost, peer: Peer, add: AddToFrame, ending: AbortController): Promise<void> => {
  if (peer.incarnation !== '') host.retireSession?.(peer.incarnation, add)
  do await delay(RETIRE_CHECK_MS)
  while (!ending.signal.aborted && host.isBusyWith?.(peer.incarnation) === true)
  ending.abort()
}

/**
 * Runs one session with an entry; resolves when it has ended, for whatever reason.
 *
 * @param address - the entry's session address
 * @param options - dependencies of the session
 * @param handle - by which the dialer ends the session and is notified of its events
 */
export const dialEntry = async (address: string, options: DialOptions, handle: DialHandle): Promise<void> => {
  const { host, agentId, incarnation, zone, keepAliveMonitor, onFrame, onTimedOut } = options
  const outbox = openOutbox()
  const add: AddToFrame = (change) => outbox.add(change)
  const ending = new AbortController()
  const { signal } = ending
  const peer: Peer = { incarnation: '' }
  const watch: SessionWatch = keepAliveMonitor.watch({
    // A session counts as busy until the welcome: an entry that does not answer must be detected soon.
    isBusy: () => peer.incarnation === '' || host.isBusyWith?.(peer.incarnation) !== false,
    sendKeepAlive: () => outbox.add(() => {}),
    sendProbe: () => outbox.add((frame) => { frame.probe = true }),
    // Before the welcome, another connection would only be one more for the entry to welcome.
    isReplaceable: () => peer.incarnation !== '' && !handle.retired.aborted,
    isPeerLoaded: () => host.isLoaded?.(peer.incarnation) === true,
    onSuspected: ({ silentMs, isBusy }) => {
      log('session_suspected', { address, silent: Math.round(silentMs), busy: isBusy })
      handle.onSuspected(() => watch.isSuspected() || signal.aborted)
    },
    onTimeout: (silence) => {
      log('session_timed_out', { address, silent: Math.round(silence.silentMs), busy: silence.isBusy })
      onTimedOut?.(silence)
      ending.abort()
    }
  })
  handle.signal.addEventListener('abort', () => ending.abort(), { signal })
  if (handle.signal.aborted) ending.abort()
  handle.retired.addEventListener('abort', () => { void retire(host, peer, add, ending) }, { signal })
  const connection = openConnection(address, [addToken(options.clusterToken)])
  const client = createClient(SessionService, connection.transport)
  try {
    for await (const frame of client.open(filledFrames(options, outbox, peer, add, watch), { signal })) {
      watch.onReceived()
      onFrame?.('received')
      if (frame.welcome !== undefined) {
        if (!handle.isNeeded()) break
        peer.incarnation = frame.welcome.incarnation
        log('session_open', { address, entry: frame.welcome.entryId, incarnation: peer.incarnation })
        // Not before the welcome: by that an entry tells a later process of this agent from an earlier one.
        add((hello) => { hello.hello = create(HelloSchema, { agentId, incarnation, zone }) })
        host.openSession(peer.incarnation, add)
        handle.onOpen()
      }
      if (frame.entries !== undefined) handle.onEntries(frame.entries.entries)
      if (peer.incarnation !== '') host.onFrame(peer.incarnation, add, frame)
    }
  } catch (err) {
    log('session_ended', { address, error: errorMessage(err) })
  } finally {
    watch.stop()
    ending.abort()
    outbox.close()
    connection.close()
    if (peer.incarnation !== '') host.closeSession(peer.incarnation, add)
  }
}
